package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.scheduling.rules.Defragmentation;
import io.verbenatrack.scheduling.rules.RunTimeEstimate;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Finds the placement that a large waiting gang can get earliest. A blocking job that may
 * be moved adds a small cost for the move; any other job adds its estimated remaining run
 * time.
 */
final class EarliestPlacement implements BlockerCost {

	/**
	 * The cost of moving a job per accelerator, as equivalent waiting time of the large
	 * gang.
	 */
	private static final double MOVE_COST_MS = 2_000;

	private final SchedulingState state;

	private final FreeAcceleratorIndex freeIndex;

	private final JobRecord large;

	private final Instant now;

	private final Map<JobRecord, Costs> costs = new IdentityHashMap<>();

	EarliestPlacement(SchedulingState state, FreeAcceleratorIndex freeIndex, JobRecord large, Instant now) {
		this.state = state;
		this.freeIndex = freeIndex;
		this.large = large;
		this.now = now;
	}

	Optional<BlockedPlacement> find(Reservations reservations) {
		return new BlockedPlacementSearch(this.state, this.freeIndex, this.large, this,
				(worker) -> reservations.isReserved(worker) ? -1L : 0)
			.anywhere();
	}

	@Override
	public double evictionCost(JobRecord blocker) {
		return this.costs.computeIfAbsent(blocker, this::costsOf).eviction();
	}

	@Override
	public double waitCost(JobRecord blocker) {
		return this.costs.computeIfAbsent(blocker, this::costsOf).waiting();
	}

	private Costs costsOf(JobRecord blocker) {
		return new Costs(computeEvictionCost(blocker), computeWaitCost(blocker));
	}

	private double computeEvictionCost(JobRecord blocker) {
		return mayMove(blocker) ? MOVE_COST_MS * blocker.spec().shape().accelerators() : 0;
	}

	private double computeWaitCost(JobRecord blocker) {
		return mayMove(blocker) ? 0 : remaining(blocker).toMillis();
	}

	private boolean mayMove(JobRecord blocker) {
		return Defragmentation.mayMove(this.state, blocker, this.large, this.now);
	}

	private Duration remaining(JobRecord blocker) {
		return RunTimeEstimate.remaining(this.state.runTimes(), blocker, RunTimeEstimate.MEDIAN, this.now);
	}

	// Returns the longest estimated remaining run time of the blocking jobs that may not
	// be moved.
	Duration readyIn(BlockedPlacement blocked) {
		Duration longest = Duration.ZERO;
		for (JobRecord blocker : blocked.blockers()) {
			Duration left = mayMove(blocker) ? Duration.ZERO : remaining(blocker);
			longest = (left.compareTo(longest) > 0) ? left : longest;
		}
		return longest;
	}

	/** The cached costs of a blocking job. */
	private record Costs(double eviction, double waiting) {

	}

}
