package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Decides from the progress that workers report whether a run stands still and ends
 * sooner when it starts again elsewhere.
 */
final class StallDetector {

	/** A run of 2.5 s, the shortest class, reports another percent each 25 ms. */
	private static final long MIN_STALL_NANOS = Duration.ofSeconds(1).toNanos();

	/** Long runs report another percent more rarely. */
	private static final double STALL_FRACTION = 0.2;

	/** Until the last member of a gang is there, or a checkpoint is loaded. */
	private static final long STARTUP_ALLOWANCE_NANOS = Duration.ofSeconds(1).toNanos();

	/** How much slower runs are away from their data or spread over racks. */
	private static final int REMOTE_FACTOR = 3;

	/** A stop and a new start take this long besides. */
	private static final double MOVE_OVERHEAD_MILLIS = 900;

	/** Workers that stand still do so for some seconds. */
	private static final double TYPICAL_STALL_MILLIS = 4500;

	private static final double WHOLE_PERCENT = 100;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Map<TaskId, Progress> progress = new HashMap<>();

	/**
	 * Takes a run's progress.
	 * @param run the run as its worker reports it
	 * @param spec its step
	 * @param local whether it runs near its data and beside its gang
	 * @param nowNanos when the report arrived
	 * @return whether it had better start again on another worker
	 */
	boolean shouldMove(ReportedRun run, StepSpec spec, boolean local, long nowNanos) {
		Progress before = this.progress.get(run.task());
		if (before == null || before.run != run.run() || before.percent != run.percent()) {
			this.progress.put(run.task(), new Progress(run.run(), run.percent(), nowNanos));
			return false;
		}
		long stalledNanos = nowNanos - before.sinceNanos;
		return run.percent() < WHOLE_PERCENT && stalledNanos > stallTimeoutNanos(run, spec, local)
				&& movingSavesTime(run, spec, stalledNanos);
	}

	private static long stallTimeoutNanos(ReportedRun run, StepSpec spec, boolean local) {
		long timeout = Math.max(MIN_STALL_NANOS, (long) (spec.estimatedMillis() * NANOS_PER_MILLI * STALL_FRACTION));
		return timeout * (local ? 1 : REMOTE_FACTOR) + ((run.percent() == 0) ? STARTUP_ALLOWANCE_NANOS : 0);
	}

	// A run that is nearly done had better wait for its worker, unless that takes too
	// long.
	private static boolean movingSavesTime(ReportedRun run, StepSpec spec, long stalledNanos) {
		double remaining = spec.estimatedMillis() * (WHOLE_PERCENT - run.percent()) / WHOLE_PERCENT;
		double afterMove = MOVE_OVERHEAD_MILLIS + (spec.checkpoints() ? remaining : spec.estimatedMillis());
		return stalledNanos > TYPICAL_STALL_MILLIS * NANOS_PER_MILLI || afterMove < TYPICAL_STALL_MILLIS + remaining;
	}

	/**
	 * Forgets all other runs.
	 * @param running the tasks that still run
	 */
	void retain(Set<TaskId> running) {
		this.progress.keySet().retainAll(running);
	}

	private record Progress(int run, int percent, long sinceNanos) {

	}

}
