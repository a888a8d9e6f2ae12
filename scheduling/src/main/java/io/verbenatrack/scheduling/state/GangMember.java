package io.verbenatrack.scheduling.state;

import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.JobSnapshot;
import io.verbenatrack.scheduling.MemberReport;

/**
 * The part of a gang on one worker.
 */
public final class GangMember {

	private final Slot slot;

	private String phase = StateCharts.MEMBER.initialState();

	private boolean saved;

	private boolean detached;

	GangMember(Slot slot) {
		this.slot = slot;
	}

	GangMember(Slot slot, JobSnapshot.Member snapshot) {
		this.slot = slot;
		this.phase = snapshot.phase();
		this.saved = snapshot.saved();
		this.detached = snapshot.detached();
	}

	JobSnapshot.Member snapshot() {
		return new JobSnapshot.Member(this.phase, this.saved, this.detached);
	}

	void detach() {
		this.detached = true;
		if (!ended()) {
			changePhase("lost");
		}
	}

	/**
	 * Returns whether a report is valid in the current state. A repeated report is not.
	 * @param report the report
	 * @return whether the member chart has a transition for it
	 */
	public boolean accepts(MemberReport report) {
		return StateCharts.MEMBER.next(this.phase, MemberEvents.of(report)).isPresent();
	}

	void changePhase(String event) {
		this.phase = StateCharts.next(StateCharts.MEMBER, this.phase, event);
		this.saved = this.saved || "checkpointed".equals(event);
	}

	/**
	 * Returns the accelerators of the member.
	 * @return the slot
	 */
	public Slot slot() {
		return this.slot;
	}

	/**
	 * Returns the state of the member chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Returns whether the member has ended.
	 * @return whether its state is final
	 */
	public boolean ended() {
		return StateCharts.MEMBER.isFinal(this.phase);
	}

	/**
	 * Returns whether the worker was lost, so that the member holds no accelerators
	 * there.
	 * @return whether it is detached
	 */
	public boolean detached() {
		return this.detached;
	}

	/**
	 * Returns whether the member saved a checkpoint under this lease.
	 * @return whether it did
	 */
	public boolean saved() {
		return this.saved;
	}

}
