package io.verbenatrack.bench.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;

/**
 * State of one job on the simulated workers.
 */
final class SimulatedJob {

	/** Interval at which checkpointable jobs save their progress on their own. */
	private static final long CHECKPOINT_INTERVAL_MS = 600_000;

	private static final long NOT_SET = -1;

	final PlannedJob job;

	final Map<WorkerId, Slot> held = new HashMap<>();

	final Set<WorkerId> prepared = new HashSet<>();

	List<Slot> slots = List.of();

	long token;

	long startedMs = NOT_SET;

	long savedMs;

	private long resumedMs;

	long endedMs = NOT_SET;

	boolean finished;

	SimulatedJob(PlannedJob job) {
		this.job = job;
	}

	void place(long newToken, GangPlacement placement) {
		this.token = newToken;
		this.slots = placement.slots();
		this.prepared.clear();
		this.held.clear();
		this.slots.forEach((slot) -> this.held.put(slot.worker(), slot));
	}

	boolean fullyPrepared() {
		return this.prepared.size() == this.slots.size();
	}

	boolean running() {
		return this.startedMs != NOT_SET;
	}

	boolean ended() {
		return this.endedMs != NOT_SET;
	}

	boolean waiting() {
		return !ended() && this.slots.isEmpty();
	}

	void start(long atMs) {
		this.startedMs = atMs;
		this.resumedMs = this.savedMs;
	}

	long progressMs(long nowMs) {
		return running() ? this.resumedMs + Math.max(0, nowMs - this.startedMs) : this.savedMs;
	}

	long checkpointedMs(long nowMs) {
		if (!this.job.spec().checkpointable()) {
			return 0;
		}
		long progressOfRunMs = progressMs(nowMs) - this.resumedMs;
		long saved = this.resumedMs + progressOfRunMs / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
		return running() ? Math.max(this.savedMs, saved) : this.savedMs;
	}

	// Stops the run and keeps only the progress of the last checkpoint.
	void stopRun(long nowMs) {
		this.savedMs = checkpointedMs(nowMs);
		this.startedMs = NOT_SET;
	}

	int gang() {
		return this.job.spec().shape().accelerators();
	}

	long waitedMs(long untilMs) {
		return untilMs - this.job.arrivalMs() - this.job.runTimeMs();
	}

}
