package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Detects from the reported progress whether a run has stalled and would end sooner if it
 * restarted on another worker. The measure is the pace that was expected of the run when
 * it last made progress, so that a straggler, which is as slow elsewhere, does not count
 * as stalled, and a worker that is stuck does not appear as merely slow.
 */
final class StallDetector {

	/** Runs of the shortest job class take 2.5 s and gain one percent every 25 ms. */
	private static final long MIN_STALL_NANOS = Duration.ofSeconds(1).toNanos();

	/** Share of the expected run time; long runs gain a percent less often. */
	private static final double STALL_FRACTION = 0.2;

	/** Extra time for the last member of a gang to start, or a checkpoint to load. */
	private static final long STARTUP_ALLOWANCE_NANOS = Duration.ofSeconds(1).toNanos();

	/** Slowdown of runs that are remote from their data or spread over racks. */
	private static final int REMOTE_FACTOR = 3;

	/** Additional time for stopping a run and starting it again. */
	static final double MOVE_OVERHEAD_MILLIS = 900;

	/** Stalled workers typically recover after a few seconds. */
	private static final double TYPICAL_STALL_MILLIS = 4500;

	private static final double WHOLE_PERCENT = 100;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Map<TaskId, Progress> progress = new HashMap<>();

	/**
	 * Records the progress of a run and decides whether to move it.
	 * @param run the run as reported by its worker
	 * @param spec the specification of its step
	 * @param expectedMillis gives the expected time of the whole run on its worker, in
	 * milliseconds
	 * @param local whether it runs on the rack of its data and its gang is on a single
	 * rack
	 * @param nowNanos the time of the report in nanoseconds of the monotonic clock
	 * @return whether the run should restart on another worker
	 */
	boolean shouldMove(ReportedRun run, StepSpec spec, LongSupplier expectedMillis, boolean local, long nowNanos) {
		Progress before = this.progress.get(run.task());
		if (before == null || before.run != run.run() || before.percent != run.percent()) {
			this.progress.put(run.task(), new Progress(run.run(), run.percent(), nowNanos, expectedMillis.getAsLong()));
			return false;
		}
		long stalledNanos = nowNanos - before.sinceNanos;
		return run.percent() < WHOLE_PERCENT && stalledNanos > stallTimeoutNanos(run, before.expectedMillis, local)
				&& movingSavesTime(run, spec, before.expectedMillis, stalledNanos);
	}

	private static long stallTimeoutNanos(ReportedRun run, long expectedMillis, boolean local) {
		long timeout = Math.max(MIN_STALL_NANOS, (long) (expectedMillis * NANOS_PER_MILLI * STALL_FRACTION));
		return timeout * (local ? 1 : REMOTE_FACTOR) + ((run.percent() == 0) ? STARTUP_ALLOWANCE_NANOS : 0);
	}

	// A run that is nearly done ends sooner when it waits for its worker to recover,
	// unless the stall takes too long.
	private static boolean movingSavesTime(ReportedRun run, StepSpec spec, long expectedMillis, long stalledNanos) {
		double remaining = expectedMillis * (WHOLE_PERCENT - run.percent()) / WHOLE_PERCENT;
		double afterMove = MOVE_OVERHEAD_MILLIS + (spec.checkpoints() ? remaining : expectedMillis);
		return stalledNanos > TYPICAL_STALL_MILLIS * NANOS_PER_MILLI || afterMove < TYPICAL_STALL_MILLIS + remaining;
	}

	/**
	 * Removes the progress of all other tasks.
	 * @param running the tasks that are still running
	 */
	void retain(Set<TaskId> running) {
		this.progress.keySet().retainAll(running);
	}

	private record Progress(int run, int percent, long sinceNanos, long expectedMillis) {

	}

}
