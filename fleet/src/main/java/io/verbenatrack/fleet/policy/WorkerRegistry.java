package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.WorkerId;

/**
 * The workers as the leader heard of them in its term. A new leader begins with an empty
 * board and treats every worker of the replicated state as leased until it has waited out
 * the leases that the leader before it may have granted.
 */
public final class WorkerRegistry {

	private final Map<WorkerId, TrackedWorker> workers = new LinkedHashMap<>();

	private final long leaseNanos;

	private final long inheritedLeaseEndNanos;

	/**
	 * Creates an empty board.
	 * @param startNanos when this leader began, by the monotonic clock
	 * @param leaseNanos the longest that a worker may take a lease to last
	 */
	public WorkerRegistry(long startNanos, long leaseNanos) {
		this.leaseNanos = leaseNanos;
		this.inheritedLeaseEndNanos = startNanos + leaseNanos;
	}

	/**
	 * Takes a worker's report unless it is older than what is known.
	 * @param report the report
	 * @param nowNanos when it arrived
	 * @return the worker, or empty when a newer report or life is known
	 */
	public Optional<TrackedWorker> update(WorkerReport report, long nowNanos) {
		WorkerId id = report.life().worker();
		TrackedWorker known = this.workers.get(id);
		if (known != null && known.incarnation().bornMillis() > report.life().bornMillis()) {
			return Optional.empty();
		}
		if (replaced(report.life(), report.address())) {
			return Optional.empty();
		}
		if (known == null || !known.incarnation().equals(report.life())) {
			known = new TrackedWorker(report, nowNanos, this.inheritedLeaseEndNanos);
			this.workers.put(id, known);
			return Optional.of(known);
		}
		return known.update(report, nowNanos) ? Optional.of(known) : Optional.empty();
	}

	private boolean replaced(WorkerIncarnation incarnation, String address) {
		return this.workers.values()
			.stream()
			.anyMatch((other) -> other.report().address().equals(address)
					&& !other.incarnation().worker().equals(incarnation.worker())
					&& other.incarnation().bornMillis() > incarnation.bornMillis());
	}

	/**
	 * Extends a worker's lease by answering the heartbeat heard last.
	 * @param worker the worker
	 */
	public void extendLease(TrackedWorker worker) {
		worker.extendLeaseTo(worker.lastReportNanos() + this.leaseNanos);
	}

	/**
	 * Whether nothing runs any more on a life of a worker: its lease ran out, or the
	 * worker has started anew.
	 * @param incarnation the life
	 * @param nowNanos the time
	 * @return whether its runs are lost
	 */
	public boolean lost(WorkerIncarnation incarnation, long nowNanos) {
		TrackedWorker known = this.workers.get(incarnation.worker());
		if (known == null) {
			return nowNanos - this.inheritedLeaseEndNanos > 0;
		}
		if (!known.incarnation().equals(incarnation)) {
			return known.incarnation().bornMillis() > incarnation.bornMillis();
		}
		return nowNanos - known.leaseEndNanos() > 0 || replaced(incarnation, known.report().address());
	}

	/**
	 * Drops workers that are gone.
	 * @param nowNanos the time
	 * @return those dropped
	 */
	public List<TrackedWorker> removeExpired(long nowNanos) {
		List<TrackedWorker> expired = new ArrayList<>(this.workers.values()
			.stream()
			.filter((worker) -> nowNanos - worker.leaseEndNanos() > 0 && worker.silentNanos(nowNanos) > this.leaseNanos)
			.toList());
		expired.forEach((worker) -> this.workers.remove(worker.incarnation().worker()));
		return expired;
	}

	/**
	 * A worker.
	 * @param worker its name
	 * @return the worker, if it was heard
	 */
	public Optional<TrackedWorker> worker(WorkerId worker) {
		return Optional.ofNullable(this.workers.get(worker));
	}

	/**
	 * A life of a worker.
	 * @param incarnation the life
	 * @return the worker, if that is the life that was heard last
	 */
	public Optional<TrackedWorker> worker(WorkerIncarnation incarnation) {
		return worker(incarnation.worker()).filter((known) -> known.incarnation().equals(incarnation));
	}

	/**
	 * The workers heard.
	 * @return the workers
	 */
	public Collection<TrackedWorker> workers() {
		return this.workers.values();
	}

}
