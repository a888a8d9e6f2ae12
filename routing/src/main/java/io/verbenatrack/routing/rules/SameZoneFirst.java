package io.verbenatrack.routing.rules;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Prefers targets in the availability zone of the instance while they are not much more
 * loaded than the others.
 */
public final class SameZoneFirst {

	/** The excess load of the local zone from which other zones are used as well. */
	public static final double TOLERANCE = 0.25;

	private SameZoneFirst() {
	}

	/**
	 * Restricts the candidates to the local zone where possible.
	 * @param <T> the type of the candidates
	 * @param candidates the targets with free slots
	 * @param local whether a target is in the zone of the instance
	 * @param load the load of a target relative to its slots
	 * @return the local candidates, or all when there is no local one or the mean load of
	 * the local ones exceeds that of the others by more than {@link #TOLERANCE}
	 */
	public static <T> List<T> prefer(List<T> candidates, Predicate<T> local, ToDoubleFunction<T> load) {
		List<T> localCandidates = candidates.stream().filter(local).toList();
		if (localCandidates.isEmpty() || localCandidates.size() == candidates.size()) {
			return candidates;
		}
		double localLoad = localCandidates.stream().mapToDouble(load).average().orElse(0);
		double otherLoad = candidates.stream().filter(local.negate()).mapToDouble(load).average().orElse(0);
		return (localLoad <= otherLoad + TOLERANCE) ? localCandidates : candidates;
	}

}
