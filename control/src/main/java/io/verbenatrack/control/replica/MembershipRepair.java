package io.verbenatrack.control.replica;

import java.util.Optional;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Replaces a replica that lost its disk by its new incarnation: first a learner, then the
 * lost voter goes, then the learner that caught up becomes a voter.
 */
final class MembershipRepair {

	/** No proposer waits for a change that the leader makes itself. */
	private static final long NO_TOKEN = 0;

	private final ReplicaState state;

	private final Leadership leadership;

	MembershipRepair(ReplicaState state, Leadership leadership) {
		this.state = state;
		this.leadership = leadership;
	}

	private boolean changePending() {
		return !this.leadership.established() || this.state.members.currentIndex() > this.state.commitIndex;
	}

	void announced(ReplicaMember member) {
		if (changePending() || this.state.members.find(ReplicaId.of(member)).isPresent()) {
			return;
		}
		boolean known = this.state.members.all()
			.stream()
			.anyMatch((present) -> present.getInstance().equals(member.getInstance()));
		if (!known) {
			return;
		}
		Membership.Builder next = this.state.membership().toBuilder().clearLearners();
		this.state.membership()
			.getLearnersList()
			.stream()
			.filter((learner) -> !learner.getInstance().equals(member.getInstance()))
			.forEach(next::addLearners);
		this.state.note(ReplicaNotice.REPLACING, ReplicaId.of(member).text());
		this.leadership.changeMembership(NO_TOKEN, next.addLearners(member).build());
	}

	void tick() {
		if (changePending() || this.state.role != ReplicaRole.LEADER) {
			return;
		}
		for (ReplicaMember learner : this.state.membership().getLearnersList()) {
			if (caughtUp(learner)) {
				this.leadership.changeMembership(NO_TOKEN,
						withoutLostVoter(learner).orElseGet(() -> promoted(learner)));
				return;
			}
		}
	}

	private boolean caughtUp(ReplicaMember learner) {
		long timeout = this.state.configuration.timings().electionTimeout().toNanos();
		return this.leadership.follower(ReplicaId.of(learner))
			.filter((progress) -> progress.mode == FollowerProgress.Mode.STREAM)
			.filter((progress) -> progress.matchIndex >= this.state.commitIndex)
			.filter((progress) -> this.state.now - progress.answeredNanos < timeout)
			.isPresent();
	}

	private Optional<Membership> withoutLostVoter(ReplicaMember learner) {
		Membership present = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllLearners(present.getLearnersList());
		present.getVotersList()
			.stream()
			.filter((voter) -> !voter.getInstance().equals(learner.getInstance()))
			.forEach(next::addVoters);
		return (next.getVotersCount() < present.getVotersCount()) ? Optional.of(next.build()) : Optional.empty();
	}

	private Membership promoted(ReplicaMember learner) {
		Membership present = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllVoters(present.getVotersList()).addVoters(learner);
		present.getLearnersList().stream().filter((other) -> !other.equals(learner)).forEach(next::addLearners);
		return next.build();
	}

}
