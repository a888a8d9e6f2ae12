package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.WorkerId;

/**
 * The workers that have reported during the term of a leader. A new leader starts with an
 * empty registry, and treats every worker in the replicated state as leased until all
 * leases that the previous leader may have granted have expired.
 */
public final class WorkerRegistry {

	/**
	 * The maximum sequence number of the first report of a new incarnation. After more
	 * reports that did not arrive, the lease of the previous one has ended anyway.
	 */
	private static final long MAX_FIRST_SEQUENCE = 100;

	/** More than the incarnations whose reports may still be on their way. */
	private static final int MAX_PAST_INCARNATIONS = 1000;

	private final Map<WorkerId, TrackedWorker> workers = new LinkedHashMap<>();

	/** Incarnations that reported before and were replaced, or fell silent. */
	private final Set<WorkerIncarnation> past = new LinkedHashSet<>();

	/** When the leases of replaced incarnations end, on the monotonic clock. */
	private final Map<WorkerIncarnation, Long> replacedLeaseEnds = new HashMap<>();

	private final FleetTimings timings;

	private final long startNanos;

	private final long leaseNanos;

	private final long inheritedLeaseEndNanos;

	/**
	 * Creates an empty registry.
	 * @param startNanos the start of the term in nanoseconds of the monotonic clock
	 * @param timings the timing parameters
	 */
	public WorkerRegistry(long startNanos, FleetTimings timings) {
		this.timings = timings;
		this.startNanos = startNanos;
		this.leaseNanos = timings.maxLeaseNanos();
		this.inheritedLeaseEndNanos = startNanos + this.leaseNanos;
	}

	/**
	 * Updates a worker from its report unless the report is outdated, or claims the place
	 * of a worker with a valid lease without being a new incarnation.
	 * @param report the report
	 * @param inUse the incarnations on which runs were started
	 * @param nowNanos the time of arrival in nanoseconds of the monotonic clock
	 * @return the updated worker, or why the report is not followed
	 */
	ReportDecision update(WorkerReport report, Set<WorkerIncarnation> inUse, long nowNanos) {
		WorkerId id = report.life().worker();
		TrackedWorker known = this.workers.get(id);
		if (known != null && known.incarnation().bornMillis() > report.life().bornMillis()) {
			return new ReportDecision.Ignored(IgnoreReason.EARLIER_INCARNATION);
		}
		if (replaced(report.life(), report.address())) {
			return new ReportDecision.Ignored(IgnoreReason.ADDRESS_REUSED);
		}
		boolean moved = known == null || !known.report().address().equals(report.address());
		boolean begins = known == null || !known.incarnation().equals(report.life());
		if ((begins || moved) && claimsHeldPlace(report, inUse, begins, nowNanos)) {
			return new ReportDecision.Ignored(IgnoreReason.PLACE_HELD);
		}
		if (begins) {
			boolean fresh = fresh(report);
			if (known != null) {
				addPast(known.incarnation());
				this.replacedLeaseEnds.put(known.incarnation(), known.leaseEndNanos());
			}
			known = new TrackedWorker(report, fresh, nowNanos, this.inheritedLeaseEndNanos);
			this.workers.put(id, known);
			markDisplaced(report);
			return new ReportDecision.Followed(known);
		}
		return known.update(report, nowNanos) ? new ReportDecision.Followed(known)
				: new ReportDecision.Ignored(IgnoreReason.OUTDATED);
	}

	// An entry of another writer, or a late report of an earlier incarnation whose clock
	// was ahead, may name the identifier or the address of a worker that still holds a
	// lease.
	private boolean claimsHeldPlace(WorkerReport report, Set<WorkerIncarnation> inUse, boolean begins, long nowNanos) {
		WorkerIncarnation claimant = report.life();
		if (begins && fresh(report)) {
			return claimsActivePlace(report, inUse, nowNanos);
		}
		if (begins && inUse.contains(claimant)) {
			TrackedWorker holder = this.workers.get(claimant.worker());
			return holder != null && inUse.contains(holder.incarnation()) && holdsLease(holder, nowNanos);
		}
		return holdsInheritedLease(claimant, inUse, nowNanos)
				|| holders(report).anyMatch((other) -> holdsLease(other, nowNanos));
	}

	// A worker that goes on reporting has not been replaced, whatever a report claims.
	private boolean claimsActivePlace(WorkerReport report, Set<WorkerIncarnation> inUse, long nowNanos) {
		Duration maxSilence = this.timings.silenceTimeout(this.workers.size());
		boolean termBegins = nowNanos - this.startNanos <= maxSilence.toNanos();
		return (termBegins && holdsInheritedLease(report.life(), inUse, nowNanos)) || holders(report)
			.anyMatch((other) -> holdsLease(other, nowNanos) && other.reachable(nowNanos, maxSilence));
	}

	private Stream<TrackedWorker> holders(WorkerReport report) {
		return this.workers.values()
			.stream()
			.filter((other) -> !other.incarnation().equals(report.life()))
			.filter((other) -> other.incarnation().worker().equals(report.life().worker())
					|| other.report().address().equals(report.address()));
	}

	// A new incarnation lists nothing of before, its reports are counted anew, and no
	// report of it was followed by the time that the previous one reported.
	private boolean fresh(WorkerReport report) {
		return report.running().isEmpty() && report.ended().isEmpty() && report.sequence() <= MAX_FIRST_SEQUENCE
				&& !this.past.contains(report.life());
	}

	private static boolean holdsLease(TrackedWorker worker, long nowNanos) {
		return nowNanos - worker.leaseEndNanos() <= 0;
	}

	// Whether another incarnation under the identifier may hold a lease of an earlier
	// leader.
	private boolean holdsInheritedLease(WorkerIncarnation claimant, Set<WorkerIncarnation> inUse, long nowNanos) {
		return nowNanos - this.inheritedLeaseEndNanos <= 0 && !this.workers.containsKey(claimant.worker())
				&& inUse.stream()
					.anyMatch((other) -> other.worker().equals(claimant.worker()) && !other.equals(claimant));
	}

	private void addPast(WorkerIncarnation incarnation) {
		this.past.remove(incarnation);
		this.past.add(incarnation);
		if (this.past.size() > MAX_PAST_INCARNATIONS) {
			this.past.remove(this.past.iterator().next());
		}
	}

	private void markDisplaced(WorkerReport newcomer) {
		this.workers.values()
			.stream()
			.filter((other) -> other.report().address().equals(newcomer.address())
					&& !other.incarnation().equals(newcomer.life()))
			.forEach(TrackedWorker::markDisplaced);
	}

	private boolean replaced(WorkerIncarnation incarnation, String address) {
		return this.workers.values().stream().anyMatch((other) -> replaces(other, incarnation, address));
	}

	private boolean replacedBySuccessor(TrackedWorker worker) {
		return this.workers.values()
			.stream()
			.filter(TrackedWorker::successor)
			.anyMatch((other) -> replaces(other, worker.incarnation(), worker.report().address()));
	}

	private static boolean replaces(TrackedWorker other, WorkerIncarnation incarnation, String address) {
		return other.report().address().equals(address) && !other.incarnation().worker().equals(incarnation.worker())
				&& other.incarnation().bornMillis() > incarnation.bornMillis();
	}

	/**
	 * Extends the lease of a worker, counted from its latest report.
	 * @param worker the worker
	 */
	public void extendLease(TrackedWorker worker) {
		worker.extendLeaseTo(worker.lastReportNanos() + this.leaseNanos);
	}

	/**
	 * Returns why an incarnation of a worker has certainly stopped all runs: its lease
	 * has expired, or a newer incarnation or another worker has replaced it and carries
	 * out what this leader starts.
	 * @param incarnation the incarnation
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return why its runs are lost, or empty when they may go on
	 */
	Optional<LossCause> lossCause(WorkerIncarnation incarnation, long nowNanos) {
		TrackedWorker known = this.workers.get(incarnation.worker());
		if (known == null) {
			return causeIf(nowNanos - this.inheritedLeaseEndNanos > 0, LossCause.INHERITED_LEASE_EXPIRED);
		}
		if (!known.incarnation().equals(incarnation)) {
			return (known.successor() && known.incarnation().bornMillis() > incarnation.bornMillis())
					? Optional.of(LossCause.NEWER_INCARNATION) : replacedLossCause(incarnation, nowNanos);
		}
		if (nowNanos - known.leaseEndNanos() > 0) {
			return Optional.of(LossCause.LEASE_EXPIRED);
		}
		return causeIf(replacedBySuccessor(known), LossCause.ADDRESS_REUSED);
	}

	private Optional<LossCause> replacedLossCause(WorkerIncarnation incarnation, long nowNanos) {
		Long leaseEndNanos = this.replacedLeaseEnds.get(incarnation);
		return (leaseEndNanos != null) ? causeIf(nowNanos - leaseEndNanos > 0, LossCause.LEASE_EXPIRED)
				: causeIf(nowNanos - this.inheritedLeaseEndNanos > 0, LossCause.INHERITED_LEASE_EXPIRED);
	}

	private static Optional<LossCause> causeIf(boolean lost, LossCause cause) {
		return lost ? Optional.of(cause) : Optional.empty();
	}

	/**
	 * Removes silent workers whose lease has expired.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the removed workers
	 */
	public List<TrackedWorker> removeExpired(long nowNanos) {
		List<TrackedWorker> expired = removeIf(
				(worker) -> nowNanos - worker.leaseEndNanos() > 0 && worker.silentNanos(nowNanos) > this.leaseNanos);
		this.replacedLeaseEnds.values().removeIf((leaseEndNanos) -> nowNanos - leaseEndNanos > 0);
		return expired;
	}

	/**
	 * Removes workers.
	 * @param condition which workers to remove
	 * @return the removed workers
	 */
	List<TrackedWorker> removeIf(Predicate<TrackedWorker> condition) {
		List<TrackedWorker> removed = this.workers.values().stream().filter(condition).toList();
		removed.forEach((worker) -> {
			this.workers.remove(worker.incarnation().worker());
			addPast(worker.incarnation());
		});
		return removed;
	}

	/**
	 * Returns a worker by its identifier.
	 * @param worker the identifier
	 * @return the worker, or empty when it has not reported
	 */
	public Optional<TrackedWorker> worker(WorkerId worker) {
		return Optional.ofNullable(this.workers.get(worker));
	}

	/**
	 * Returns a worker by its incarnation.
	 * @param incarnation the incarnation
	 * @return the worker, or empty when it is not the incarnation that reported last
	 */
	public Optional<TrackedWorker> worker(WorkerIncarnation incarnation) {
		return worker(incarnation.worker()).filter((known) -> known.incarnation().equals(incarnation));
	}

	/**
	 * Returns all workers that have reported.
	 * @return a live view of the workers
	 */
	public Collection<TrackedWorker> workers() {
		return this.workers.values();
	}

}
