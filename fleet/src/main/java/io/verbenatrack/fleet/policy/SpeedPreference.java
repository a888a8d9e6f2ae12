package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The speeds of workers that a step prefers. An urgent step takes the fastest ones. Any
 * other step takes the slowest ones on which its outlook is as good as on the fastest, so
 * that fast workers stay free for steps that need them, and slow ones are not idle.
 */
final class SpeedPreference {

	/** A start and an end each take up to a report interval to become known. */
	private static final long REPORTING_MILLIS = 500;

	private final PendingStep step;

	private final SpeedTiers tiers;

	private final int slowestSuitable;

	private SpeedPreference(PendingStep step, SpeedTiers tiers, int slowestSuitable) {
		this.step = step;
		this.tiers = tiers;
		this.slowestSuitable = slowestSuitable;
	}

	static SpeedPreference of(PendingStep step, SpeedTiers tiers, long nowMillis) {
		int suitable = 0;
		if (step.queue().priority() > 0) {
			long reported = nowMillis + REPORTING_MILLIS;
			CompletionOutlook best = CompletionOutlook.of(step, reported, tiers.speed(0));
			while (suitable + 1 < tiers.count()
					&& CompletionOutlook.of(step, reported, tiers.speed(suitable + 1)) == best) {
				suitable++;
			}
		}
		return new SpeedPreference(step, tiers, suitable);
	}

	/**
	 * Returns whether the step gains nothing from workers that are faster than a tier.
	 * @param tier the tier
	 * @return whether it is the fastest tier, or its outlook there is as good
	 */
	boolean suits(int tier) {
		return tier <= this.slowestSuitable;
	}

	/**
	 * Ranks the tiers for a single task.
	 * @param candidate a worker
	 * @return a lower number for a better tier
	 */
	int rank(CandidateWorker candidate) {
		return suits(candidate.tier()) ? this.slowestSuitable - candidate.tier() : candidate.tier();
	}

	/**
	 * Returns the ranges of tiers for a gang, the best first. Suitable slow tiers come
	 * first, each alone, since a gang runs as fast as its slowest member. Then come the
	 * fastest ones, each together with all that are faster.
	 * @return the ranges
	 */
	List<Range> ranges() {
		List<Range> ranges = new ArrayList<>();
		for (int tier = this.slowestSuitable; tier > 0; tier--) {
			ranges.add(new Range(tier, tier));
		}
		for (int tier = 0; tier < this.tiers.count(); tier++) {
			ranges.add(new Range(0, tier));
		}
		return ranges;
	}

	int tierCount() {
		return this.tiers.count();
	}

	/**
	 * Returns the expected run time of the step when its slowest worker is in a tier.
	 * @param tier the tier
	 * @return the median time in milliseconds
	 */
	long runMillis(int tier) {
		return (long) (this.step.medianMillis() / this.tiers.speed(tier));
	}

	/**
	 * Returns the slowest tier among workers.
	 * @param workers the workers
	 * @return the tier
	 */
	static int slowestTier(Collection<CandidateWorker> workers) {
		return workers.stream().mapToInt(CandidateWorker::tier).max().orElse(0);
	}

	/**
	 * A range of tiers.
	 *
	 * @param fastest the fastest tier
	 * @param slowest the slowest tier
	 */
	record Range(int fastest, int slowest) {

		boolean includes(CandidateWorker candidate) {
			return candidate.tier() >= this.fastest && candidate.tier() <= this.slowest;
		}

	}

}
