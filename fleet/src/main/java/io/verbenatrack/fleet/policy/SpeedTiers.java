package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * The workers of a service grouped by their speeds, so that workers of about the same
 * speed count as alike. Tier 0 is the fastest.
 */
final class SpeedTiers {

	/** The tiers of a service without workers. */
	static final SpeedTiers NONE = new SpeedTiers(new double[] { 1 });

	/**
	 * The ratio between the speeds of two tiers. Urgent jobs have half of their run time
	 * as slack; a worker that is slower by this ratio uses up half of the slack. Learned
	 * speeds of equal workers differ by less.
	 */
	private static final double RATIO = 1.25;

	private final double[] speeds;

	private SpeedTiers(double[] speeds) {
		this.speeds = speeds;
	}

	/**
	 * Groups workers, and tells each of them its tier. The median speed lies in the
	 * middle of a tier, so that a uniform fleet has a single one.
	 * @param candidates the workers of a service
	 * @return the tiers
	 */
	static SpeedTiers assign(Collection<CandidateWorker> candidates) {
		double[] sorted = candidates.stream().mapToDouble(CandidateWorker::speed).sorted().toArray();
		if (sorted.length == 0) {
			return NONE;
		}
		double median = sorted[sorted.length / 2];
		TreeMap<Long, List<CandidateWorker>> groups = new TreeMap<>(Comparator.reverseOrder());
		for (CandidateWorker candidate : candidates) {
			long steps = Math.round(Math.log(candidate.speed() / median) / Math.log(RATIO));
			groups.computeIfAbsent(steps, (added) -> new ArrayList<>()).add(candidate);
		}
		double[] speeds = new double[groups.size()];
		int tier = 0;
		for (List<CandidateWorker> group : groups.values()) {
			speeds[tier] = group.stream().mapToDouble(CandidateWorker::speed).min().orElseThrow();
			int assigned = tier++;
			group.forEach((candidate) -> candidate.assignTier(assigned));
		}
		return new SpeedTiers(speeds);
	}

	int count() {
		return this.speeds.length;
	}

	/**
	 * Returns the speed of the slowest worker of a tier.
	 * @param tier the tier
	 * @return the speed relative to the nominal speed
	 */
	double speed(int tier) {
		return this.speeds[tier];
	}

}
