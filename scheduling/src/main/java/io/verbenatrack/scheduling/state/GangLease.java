package io.verbenatrack.scheduling.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.JobSnapshot;

/**
 * The lease of a gang on its accelerators, from placement to release.
 */
public final class GangLease {

	private final FencingToken token;

	private final GangPlacement placement;

	private final Instant placedAt;

	private final List<GangMember> members;

	private String phase = StateCharts.LEASE.initialState();

	private Instant changedAt;

	private Instant startedAt;

	private Instant checkpointAt;

	GangLease(FencingToken token, GangPlacement placement, Instant placedAt) {
		this.token = token;
		this.placement = placement;
		this.placedAt = placedAt;
		this.changedAt = placedAt;
		this.members = new ArrayList<>(placement.slots().size());
		for (Slot slot : placement.slots()) {
			this.members.add(new GangMember(slot));
		}
	}

	GangLease(JobSnapshot.Lease snapshot) {
		this.token = snapshot.token();
		this.placement = snapshot.placement();
		this.placedAt = snapshot.placedAt();
		this.phase = snapshot.phase();
		this.changedAt = snapshot.changedAt();
		this.startedAt = snapshot.startedAt().orElse(null);
		this.checkpointAt = snapshot.checkpointAt().orElse(null);
		this.members = new ArrayList<>(snapshot.members().size());
		for (int index = 0; index < snapshot.members().size(); index++) {
			this.members.add(new GangMember(this.placement.slots().get(index), snapshot.members().get(index)));
		}
	}

	JobSnapshot.Lease snapshot() {
		return new JobSnapshot.Lease(this.token, this.placement, this.phase, this.placedAt, this.changedAt, startedAt(),
				checkpointAt(), this.members.stream().map(GangMember::snapshot).toList());
	}

	void changePhase(String event, Instant at) {
		this.phase = StateCharts.next(StateCharts.LEASE, this.phase, event);
		this.changedAt = at;
		if ("start".equals(event)) {
			this.startedAt = at;
		}
	}

	void checkpoint(Instant at) {
		this.checkpointAt = at;
		this.changedAt = at;
	}

	/**
	 * Returns the fencing token of the lease.
	 * @return the token
	 */
	public FencingToken token() {
		return this.token;
	}

	/**
	 * Returns the accelerators that the gang holds.
	 * @return the placement
	 */
	public GangPlacement placement() {
		return this.placement;
	}

	/**
	 * Returns the members in the order of the slots.
	 * @return the members
	 */
	public List<GangMember> members() {
		return this.members;
	}

	/**
	 * Returns the member on a worker.
	 * @param worker the worker
	 * @return the member, if the gang has one there
	 */
	public Optional<GangMember> member(WorkerId worker) {
		for (GangMember member : this.members) {
			if (member.slot().worker().equals(worker)) {
				return Optional.of(member);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the state of the lease chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Returns when the accelerators were assigned.
	 * @return the time
	 */
	public Instant placedAt() {
		return this.placedAt;
	}

	/**
	 * Returns when the lease last changed. Deadlines are measured from this time.
	 * @return the time
	 */
	public Instant changedAt() {
		return this.changedAt;
	}

	/**
	 * Returns when all members were told to start.
	 * @return the time, if they were
	 */
	public Optional<Instant> startedAt() {
		return Optional.ofNullable(this.startedAt);
	}

	/**
	 * Returns when the members were told to checkpoint.
	 * @return the time, if they were
	 */
	public Optional<Instant> checkpointAt() {
		return Optional.ofNullable(this.checkpointAt);
	}

	/**
	 * Returns whether every member satisfies a condition.
	 * @param condition the condition
	 * @return whether all do
	 */
	public boolean allMembers(Predicate<GangMember> condition) {
		for (GangMember member : this.members) {
			if (!condition.test(member)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether at least one member is in a state.
	 * @param state a state of the member chart
	 * @return whether one is
	 */
	public boolean anyMemberIs(String state) {
		return !allMembers((member) -> !state.equals(member.phase()));
	}

}
