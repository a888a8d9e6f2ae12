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
	private static final double MOVE_PRICE_MS = 2_000;

	private final SchedulingState state;

	private final FreeAcceleratorIndex rooms;

	private final JobRecord large;

	private final Instant now;

	private final Map<JobRecord, Price> prices = new IdentityHashMap<>();

	EarliestPlacement(SchedulingState state, FreeAcceleratorIndex rooms, JobRecord large, Instant now) {
		this.state = state;
		this.rooms = rooms;
		this.large = large;
		this.now = now;
	}

	Optional<BlockedPlacement> find(Reservations reservations) {
		return new BlockedPlacementSearch(this.state, this.rooms, this.large, this,
				(worker) -> reservations.isReserved(worker) ? -1L : 0)
			.anywhere();
	}

	@Override
	public double leave(JobRecord blocker) {
		return this.prices.computeIfAbsent(blocker, this::price).leave();
	}

	@Override
	public double await(JobRecord blocker) {
		return this.prices.computeIfAbsent(blocker, this::price).await();
	}

	private Price price(JobRecord blocker) {
		return new Price(leavePrice(blocker), awaitPrice(blocker));
	}

	private double leavePrice(JobRecord blocker) {
		return mayMove(blocker) ? MOVE_PRICE_MS * blocker.spec().shape().accelerators() : 0;
	}

	private double awaitPrice(JobRecord blocker) {
		return mayMove(blocker) ? 0 : remaining(blocker).toMillis();
	}

	private boolean mayMove(JobRecord blocker) {
		return Defragmentation.mayMove(this.state, blocker, this.large, this.now);
	}

	private Duration remaining(JobRecord blocker) {
		return RunTimeEstimate.remaining(this.state.runTimes(), blocker, RunTimeEstimate.MEDIAN, this.now);
	}

	// Returns the longest estimated remaining run time of the blocking jobs that may not
	// be
	// moved.
	Duration readyIn(BlockedPlacement window) {
		Duration longest = Duration.ZERO;
		for (JobRecord victim : window.victims()) {
			Duration stays = mayMove(victim) ? Duration.ZERO : remaining(victim);
			longest = (stays.compareTo(longest) > 0) ? stays : longest;
		}
		return longest;
	}

	/** The cached costs of a blocking job. */
	private record Price(double leave, double await) {

	}

}
