package io.verbenatrack.scheduling.property;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks invariants of a sequence of events and decisions against a model of what the
 * workers hold. Fails at the first violation.
 */
final class InvariantChecker {

	private final Map<JobId, JobSpec> accepted = new HashMap<>();

	private final Set<JobId> ended = new HashSet<>();

	private final Map<WorkerId, WorkerSpec> usable = new HashMap<>();

	private final Map<WorkerId, WorkerSpec> present = new HashMap<>();

	private final Set<WorkerId> quarantined = new HashSet<>();

	/**
	 * The members on each worker, until the worker reports their end or its lease
	 * expires.
	 */
	private final Map<Member, Slot> held = new HashMap<>();

	private final Map<JobId, Gang> gangs = new HashMap<>();

	private long highestToken;

	// Updates the model from an event, before the scheduler decides on it.
	void beforeDecisions(SchedulingEvent event) {
		switch (event) {
			case SchedulingEvent.WorkerAnnounced announced -> {
				this.present.put(announced.worker().id(), announced.worker());
				this.usable.put(announced.worker().id(), announced.worker());
			}
			case SchedulingEvent.WorkerDraining draining -> this.usable.remove(draining.worker());
			case SchedulingEvent.WorkerLost lost -> lose(lost.worker());
			case SchedulingEvent.MemberReported reported -> report(reported);
			default -> {
			}
		}
	}

	// Checks the decisions on an event, in order.
	void afterDecisions(SchedulingEvent event, List<SchedulingDecision> decisions) {
		decisions.forEach(this::check);
		this.gangs.forEach((job, gang) -> assertThat(gang.broken && gang.started)
			.as("gang of %s keeps running without a member after %s", job, event)
			.isFalse());
	}

	Set<JobId> unfinished() {
		Set<JobId> unfinished = new HashSet<>(this.accepted.keySet());
		unfinished.removeAll(this.ended);
		return unfinished;
	}

	// Returns the slots of the members that workers hold under a lease.
	List<Slot> members(JobId job, FencingToken token) {
		return this.held.entrySet()
			.stream()
			.filter((member) -> member.getKey().job().equals(job) && member.getKey().token().equals(token))
			.map(Map.Entry::getValue)
			.sorted(Comparator.comparing(Slot::worker))
			.toList();
	}

	private void check(SchedulingDecision decision) {
		switch (decision) {
			case SchedulingDecision.AcceptJob accept ->
				assertThat(this.accepted.put(accept.job().id(), accept.job())).as("job accepted twice").isNull();
			case SchedulingDecision.PlaceGang place -> place(place);
			case SchedulingDecision.StartGang start -> start(start);
			case SchedulingDecision.CheckpointGang save -> assertUnfinished(save.job());
			case SchedulingDecision.StopGang stop -> markStopped(stop.job());
			case SchedulingDecision.RequeueJob requeue -> {
				markStopped(requeue.job());
				this.gangs.remove(requeue.job());
			}
			case SchedulingDecision.EndJob end -> {
				this.gangs.remove(end.job());
				assertThat(this.ended.add(end.job())).as("second outcome of %s", end.job()).isTrue();
			}
			case SchedulingDecision.QuarantineWorker quarantine -> this.quarantined.add(quarantine.worker());
			case SchedulingDecision.ReleaseWorker release -> this.quarantined.remove(release.worker());
			default -> {
			}
		}
	}

	private void place(SchedulingDecision.PlaceGang place) {
		assertUnfinished(place.job());
		assertThat(this.gangs).as("gang placed twice").doesNotContainKey(place.job());
		assertThat(place.token().value()).as("fencing token").isGreaterThan(this.highestToken);
		this.highestToken = place.token().value();
		GangShape shape = this.accepted.get(place.job()).shape();
		assertAdjacent(shape, place.placement().slots());
		for (Slot slot : place.placement().slots()) {
			assertThat(this.usable).as("worker of %s", place).containsKey(slot.worker());
			assertThat(this.quarantined).as("worker of %s", place).doesNotContain(slot.worker());
			assertFits(place, slot);
			this.held.put(new Member(place.job(), place.token(), slot.worker()), slot);
		}
		this.gangs.put(place.job(), new Gang(place.token(), place.placement().slots()));
	}

	private void assertAdjacent(GangShape shape, List<Slot> slots) {
		assertThat(slots.stream().mapToInt(Slot::accelerators).sum()).isEqualTo(shape.accelerators());
		for (int i = 1; i < slots.size(); i++) {
			WorkerSpec before = this.present.get(slots.get(i - 1).worker());
			WorkerSpec worker = this.present.get(slots.get(i).worker());
			assertThat(before.accelerators()).as("a gang on several workers takes whole workers")
				.isEqualTo(slots.get(i - 1).accelerators());
			assertThat(worker.rack()).isEqualTo(before.rack());
			assertThat(worker.positionInRack()).isEqualTo(before.positionInRack() + 1);
		}
		WorkerSpec first = this.present.get(slots.getFirst().worker());
		assertThat(slots.size() == 1 || shape.accelerators() > first.accelerators())
			.as("a gang that fits on one worker is placed on one: %s", slots)
			.isTrue();
	}

	private void assertFits(SchedulingDecision.PlaceGang place, Slot slot) {
		WorkerSpec worker = this.present.get(slot.worker());
		GangShape shape = this.accepted.get(place.job()).shape();
		int cores = slot.accelerators() * shape.coresPerAccelerator();
		int memory = slot.accelerators() * shape.memoryGibPerAccelerator();
		for (Map.Entry<Member, Slot> other : this.held.entrySet()) {
			if (other.getValue().worker().equals(slot.worker())) {
				Slot taken = other.getValue();
				assertThat(slot.firstAccelerator() + slot.accelerators() <= taken.firstAccelerator()
						|| taken.firstAccelerator() + taken.accelerators() <= slot.firstAccelerator())
					.as("%s overlaps accelerators held by %s", place, other)
					.isTrue();
				GangShape otherShape = this.accepted.get(other.getKey().job()).shape();
				cores += taken.accelerators() * otherShape.coresPerAccelerator();
				memory += taken.accelerators() * otherShape.memoryGibPerAccelerator();
			}
		}
		assertThat(slot.firstAccelerator()).isNotNegative();
		assertThat(slot.firstAccelerator() + slot.accelerators()).isLessThanOrEqualTo(worker.accelerators());
		assertThat(cores).as("cores on %s", worker).isLessThanOrEqualTo(worker.cores());
		assertThat(memory).as("memory on %s", worker).isLessThanOrEqualTo(worker.memoryGib());
	}

	private void start(SchedulingDecision.StartGang start) {
		Gang gang = this.gangs.get(start.job());
		assertThat(gang.token).isEqualTo(start.token());
		assertThat(gang.prepared).as("members prepared at %s", start).hasSameSizeAs(gang.slots);
		assertThat(gang.broken).as("a member was missing at %s", start).isFalse();
		gang.started = true;
	}

	private void markStopped(JobId job) {
		if (this.gangs.containsKey(job)) {
			this.gangs.get(job).started = false;
		}
	}

	private void assertUnfinished(JobId job) {
		assertThat(this.accepted).containsKey(job);
		assertThat(this.ended).doesNotContain(job);
	}

	private void lose(WorkerId worker) {
		this.usable.remove(worker);
		this.quarantined.remove(worker);
		for (Member member : List.copyOf(this.held.keySet())) {
			if (member.worker().equals(worker)) {
				this.held.remove(member);
				breakGang(member);
			}
		}
	}

	private void breakGang(Member member) {
		Gang gang = this.gangs.get(member.job());
		if (gang != null && gang.token.equals(member.token())) {
			gang.broken = true;
		}
	}

	private void report(SchedulingEvent.MemberReported reported) {
		Slot slot = this.held.get(new Member(reported.job(), reported.token(), reported.worker()));
		Gang gang = this.gangs.get(reported.job());
		boolean current = slot != null && gang != null && gang.token.equals(reported.token());
		if (slot != null && reported.report().compareTo(MemberReport.FINISHED) >= 0
				&& reported.report() != MemberReport.CHECKPOINTED) {
			this.held.remove(new Member(reported.job(), reported.token(), reported.worker()));
		}
		if (current && reported.report() == MemberReport.PREPARED) {
			gang.prepared.add(reported.worker());
		}
		if (current && (reported.report() == MemberReport.FAILED || reported.report() == MemberReport.STOPPED)) {
			gang.broken = true;
		}
	}

	// A member of a gang as known to its worker.
	private record Member(JobId job, FencingToken token, WorkerId worker) {

	}

	/** A current placement. */
	private static final class Gang {

		private final FencingToken token;

		private final List<Slot> slots;

		private final Set<WorkerId> prepared = new HashSet<>();

		private boolean started;

		private boolean broken;

		Gang(FencingToken token, List<Slot> slots) {
			this.token = token;
			this.slots = slots;
		}

	}

}
