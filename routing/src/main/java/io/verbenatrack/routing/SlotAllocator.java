package io.verbenatrack.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.routing.rules.SlotShare;

/**
 * Divides the slots of each target among the instances and lends unused slots.
 * <p>
 * Each slot is owned by one instance. An owner lends unused slots to instances that need
 * more. It counts a lent slot as used until the borrower has acknowledged the recall and
 * reports that it no longer holds the slot, so that the instances together never exceed
 * the slots of a target. A borrower uses a loan only while reports of the owner arrive.
 */
final class SlotAllocator {

	/** The interval between reports of an instance to the others, in milliseconds. */
	static final long REPORT_INTERVAL_MILLIS = 250;

	private static final long LOAN_VALIDITY_NANOS = 4 * REPORT_INTERVAL_MILLIS * 1_000_000;

	private final InstanceId self;

	private final Map<TargetId, TargetLoans> loansByTarget = new TreeMap<>();

	private List<InstanceId> instances;

	private long sequence;

	SlotAllocator(InstanceId self) {
		this.self = self;
		this.instances = List.of(self);
	}

	void setInstances(List<InstanceId> liveInstances) {
		this.instances = liveInstances.contains(this.self) ? liveInstances.stream().sorted().toList()
				: List.of(this.self);
		this.loansByTarget.values().forEach((loans) -> loans.retainInstances(this.instances));
	}

	int capacity(TargetSpec target, long nowNanos) {
		TargetLoans loans = this.loansByTarget.get(target.id());
		int borrowed = (loans != null) ? loans.borrowed(nowNanos) - loans.outstanding() : 0;
		return Math.min(ownSlots(target) + borrowed, connectionShare(target));
	}

	private int ownSlots(TargetSpec target) {
		return shareOf(target, target.slots());
	}

	private int connectionShare(TargetSpec target) {
		return Math.max(1, shareOf(target, target.connections()));
	}

	private int shareOf(TargetSpec target, int total) {
		int rank = this.instances.indexOf(this.self);
		return SlotShare.of(total, this.instances.size(), rank, target.id().value().hashCode());
	}

	void receive(SlotUse use, long nowNanos) {
		if (use.from().equals(this.self) || !this.instances.contains(use.from())) {
			return;
		}
		this.loansByTarget.computeIfAbsent(use.target(), (id) -> new TargetLoans()).receive(use, this.self, nowNanos);
	}

	/**
	 * Lends and recalls slots of a target, and reports its use.
	 * @param target the target
	 * @param inFlight the number of dispatches of this instance in progress on the target
	 * @param wanted the number of further slots that this instance could use now
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the report, or empty when there is nothing to report
	 */
	Optional<SlotUse> report(TargetSpec target, int inFlight, int wanted, long nowNanos) {
		TargetLoans loans = this.loansByTarget.computeIfAbsent(target.id(), (id) -> new TargetLoans());
		this.sequence++;
		int ownSlots = ownSlots(target);
		int free = (wanted > 0) ? 0 : ownSlots - Math.min(inFlight, ownSlots) - loans.outstanding();
		loans.lend(wanted == 0, free, this.sequence, nowNanos);
		int excess = Math.max(0, inFlight - (ownSlots - loans.outstanding()));
		return loans.report(this.self, target.id(), this.sequence, wanted, excess, nowNanos);
	}

	private static final class TargetLoans {

		private final Map<InstanceId, Loan> lent = new TreeMap<>();

		private final Map<InstanceId, SlotUse> reports = new TreeMap<>();

		private final Map<InstanceId, Long> receivedAtNanos = new TreeMap<>();

		private final Map<InstanceId, Integer> borrowed = new TreeMap<>();

		private final Map<InstanceId, Integer> held = new TreeMap<>();

		private boolean reportedUse;

		private void retainInstances(List<InstanceId> instances) {
			this.lent.keySet().retainAll(instances);
			this.reports.keySet().retainAll(instances);
			this.receivedAtNanos.keySet().retainAll(instances);
			this.borrowed.keySet().retainAll(instances);
			this.held.keySet().retainAll(instances);
		}

		private int outstanding() {
			return this.lent.values().stream().mapToInt((loan) -> loan.outstanding).sum();
		}

		private int borrowed(long nowNanos) {
			int sum = 0;
			for (Map.Entry<InstanceId, Integer> loan : this.borrowed.entrySet()) {
				sum += isValid(loan.getKey(), nowNanos) ? loan.getValue() : 0;
			}
			return sum;
		}

		private boolean isValid(InstanceId from, long nowNanos) {
			return nowNanos - this.receivedAtNanos.get(from) <= LOAN_VALIDITY_NANOS;
		}

		private void receive(SlotUse use, InstanceId self, long nowNanos) {
			SlotUse previous = this.reports.get(use.from());
			if (previous != null && previous.sequence() >= use.sequence()) {
				return;
			}
			this.reports.put(use.from(), use);
			this.receivedAtNanos.put(use.from(), nowNanos);
			int granted = use.lent().getOrDefault(self, 0);
			this.borrowed.put(use.from(), granted);
			this.held.merge(use.from(), granted, Math::max);
			Loan loan = this.lent.get(use.from());
			if (loan != null && use.acknowledged().getOrDefault(self, -1L) >= loan.changedAtSequence) {
				loan.outstanding = Math.max(loan.granted, use.held().getOrDefault(self, 0));
			}
		}

		private void lend(boolean mayLend, int free, long sequence, long nowNanos) {
			List<InstanceId> borrowers = new ArrayList<>();
			for (SlotUse use : this.reports.values()) {
				if (use.wanted() > 0 && isValid(use.from(), nowNanos)) {
					borrowers.add(use.from());
				}
			}
			Map<InstanceId, Integer> grants = new TreeMap<>();
			this.lent.keySet().forEach((borrower) -> grants.put(borrower, 0));
			int remaining = Math.max(0, free);
			for (InstanceId borrower : borrowers) {
				int outstanding = outstandingTo(borrower);
				int usable = this.reports.get(borrower).wanted() + outstanding;
				int additional = Math.min(Math.ceilDiv(remaining, borrowers.size()), usable - outstanding);
				grants.put(borrower, mayLend ? outstanding + additional : 0);
				remaining -= additional;
			}
			grants.forEach((borrower, slots) -> this.lent.computeIfAbsent(borrower, (id) -> new Loan())
				.grant(slots, sequence));
		}

		private int outstandingTo(InstanceId borrower) {
			Loan loan = this.lent.get(borrower);
			return (loan != null) ? loan.outstanding : 0;
		}

		private Optional<SlotUse> report(InstanceId self, TargetId target, long sequence, int wanted, int excess,
				long nowNanos) {
			Map<InstanceId, Integer> grants = new TreeMap<>();
			this.lent.forEach((borrower, loan) -> grants.put(borrower, loan.granted));
			updateHeld(excess, nowNanos);
			Map<InstanceId, Long> acknowledged = new TreeMap<>();
			this.reports.forEach((from, use) -> acknowledged.put(from, use.sequence()));
			boolean idle = wanted == 0 && excess == 0 && outstanding() == 0 && borrowed(nowNanos) == 0;
			boolean needed = !idle || this.reportedUse;
			this.reportedUse = !idle;
			return needed ? Optional.of(new SlotUse(self, target, sequence, wanted, grants, this.held, acknowledged))
					: Optional.empty();
		}

		// A recalled slot stays held until the dispatch on it ends. Each dispatch beyond
		// the own slots is attributed to a single lender.
		private void updateHeld(int excess, long nowNanos) {
			int remaining = excess;
			for (Map.Entry<InstanceId, Integer> loan : this.borrowed.entrySet()) {
				remaining -= isValid(loan.getKey(), nowNanos) ? loan.getValue() : 0;
			}
			for (Map.Entry<InstanceId, Integer> loan : this.borrowed.entrySet()) {
				int granted = isValid(loan.getKey(), nowNanos) ? loan.getValue() : 0;
				int retained = Math.clamp(remaining, 0, this.held.get(loan.getKey()) - granted);
				this.held.put(loan.getKey(), granted + retained);
				remaining -= retained;
			}
		}

	}

	private static final class Loan {

		private int granted;

		private int outstanding;

		private long changedAtSequence;

		private void grant(int slots, long sequence) {
			if (slots != this.granted) {
				this.changedAtSequence = sequence;
			}
			this.granted = slots;
			this.outstanding = Math.max(this.outstanding, slots);
		}

	}

}
