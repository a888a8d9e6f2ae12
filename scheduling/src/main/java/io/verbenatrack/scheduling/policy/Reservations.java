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
 * The workers that are reserved for the highest-ranked large gangs.
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

	void add(JobRecord job, BlockedPlacement blocked, Duration readyIn) {
		Reservation reservation = new Reservation(job, blocked, this.now.plus(readyIn));
		this.all.add(reservation);
		for (Slot slot : blocked.placement().slots()) {
			this.byWorker.put(slot.worker(), reservation);
		}
	}

	List<Reservation> all() {
		return this.all;
	}

	boolean isReserved(WorkerRecord worker) {
		return this.byWorker.containsKey(worker.id());
	}

	// Returns how often a job was denied a worker because of a reservation.
	long denials() {
		return this.denials;
	}

	// Whether a job may use a worker. A job that would delay the reservation of another
	// may not.
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
	 * A reservation of accelerators for a job.
	 *
	 * @param job the job
	 * @param blocked the accelerators
	 * @param readyAt when the jobs running there are expected to end
	 */
	record Reservation(JobRecord job, BlockedPlacement blocked, Instant readyAt) {

	}

}
