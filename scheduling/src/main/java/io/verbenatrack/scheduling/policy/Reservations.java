package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.rules.Backfill;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Workers that are kept for large gangs at the head of the queue.
 */
final class Reservations {

	private final SchedulingState state;

	private final Map<WorkerId, Reservation> byWorker = new HashMap<>();

	private final List<Reservation> all = new ArrayList<>();

	private Instant now = Instant.EPOCH;

	private long denials;

	Reservations(SchedulingState state) {
		this.state = state;
	}

	void setTime(Instant time) {
		this.now = time;
	}

	void clear() {
		this.byWorker.clear();
		this.all.clear();
	}

	void add(JobRecord job, Window window, Duration readyIn) {
		Reservation reservation = new Reservation(job, window, this.now.plus(readyIn));
		this.all.add(reservation);
		for (Slot slot : window.placement().slots()) {
			this.byWorker.put(slot.worker(), reservation);
		}
	}

	List<Reservation> all() {
		return this.all;
	}

	boolean isReserved(WorkerRecord worker) {
		return this.byWorker.containsKey(worker.id());
	}

	// How often a job was kept from a worker.
	long denials() {
		return this.denials;
	}

	// Whether a job may use a worker: not if it would delay another's reservation.
	boolean allows(WorkerRecord worker, JobRecord job) {
		Reservation reservation = this.byWorker.get(worker.id());
		if (reservation == null || reservation.job() == job || !reservation.job().waiting()) {
			return true;
		}
		boolean allowed = Backfill.allows(this.state.runTimes(), job, this.now, reservation.readyAt());
		this.denials += allowed ? 0 : 1;
		return allowed;
	}

	/**
	 * Accelerators kept for a job.
	 *
	 * @param job the job
	 * @param window the accelerators
	 * @param readyAt when its running jobs are expected to end
	 */
	record Reservation(JobRecord job, Window window, Instant readyAt) {

	}

}
