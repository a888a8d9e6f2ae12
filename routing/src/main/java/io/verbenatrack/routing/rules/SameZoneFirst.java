package io.verbenatrack.routing.rules;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Keeps requests in their availability zone until it is fuller than the others.
 */
public final class SameZoneFirst {

	/** How much fuller the own zone may be before requests spill over, in load. */
	public static final double TOLERANCE = 0.25;

	private SameZoneFirst() {
	}

	/**
	 * Narrows the candidates.
	 * @param <T> the type of the candidates
	 * @param candidates the targets with room
	 * @param local whether a target is in the own zone
	 * @param load the load of a target over its slots
	 * @return the local ones, or all when there is no local one or those are fuller
	 */
	public static <T> List<T> narrow(List<T> candidates, Predicate<T> local, ToDoubleFunction<T> load) {
		List<T> near = candidates.stream().filter(local).toList();
		if (near.isEmpty() || near.size() == candidates.size()) {
			return candidates;
		}
		double nearLoad = near.stream().mapToDouble(load).average().orElse(0);
		double farLoad = candidates.stream().filter(local.negate()).mapToDouble(load).average().orElse(0);
		return (nearLoad <= farLoad + TOLERANCE) ? near : candidates;
	}

}
