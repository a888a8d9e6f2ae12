package io.verbenatrack.control.replica;

import java.util.Optional;
import java.util.function.Predicate;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Replaces a replica that lost its disk by its new incarnation, and one that stays silent
 * by a newcomer: first a learner, then the lost voter goes, then the learner that caught
 * up becomes a voter.
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
		Membership present = this.state.membership();
		boolean known = this.state.members.all()
			.stream()
			.anyMatch((other) -> other.getInstance().equals(member.getInstance()));
		int replicas = present.getVotersCount() + present.getLearnersCount();
		if (!known && replicas >= this.state.configuration.limits().maximumReplicas()) {
			return;
		}
		Membership.Builder next = present.toBuilder().clearLearners();
		present.getLearnersList()
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
				Optional<Membership> next = withoutLostVoter(learner).or(() -> promotion(learner))
					.or(this::withoutSilentVoter);
				if (next.isPresent()) {
					this.leadership.changeMembership(NO_TOKEN, next.get());
					return;
				}
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
		return without((voter) -> voter.getInstance().equals(learner.getInstance()));
	}

	// A newcomer stays a learner once there are as many voters as wanted: with an even
	// number of them no more may fail.
	private Optional<Membership> promotion(ReplicaMember learner) {
		int voters = this.state.membership().getVotersCount();
		boolean wanted = voters < this.state.configuration.membership().voters();
		return (wanted || voters % 2 == 0) ? Optional.of(promoted(learner)) : Optional.empty();
	}

	// One of them at a time, since a membership may follow another by one vote only.
	private Optional<Membership> withoutSilentVoter() {
		Optional<ReplicaMember> lost = this.state.membership()
			.getVotersList()
			.stream()
			.filter(this::silent)
			.findFirst();
		return lost.flatMap((voter) -> without(voter::equals));
	}

	private Optional<Membership> without(Predicate<ReplicaMember> lost) {
		Membership present = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllLearners(present.getLearnersList());
		present.getVotersList().stream().filter(lost.negate()).forEach(next::addVoters);
		return (next.getVotersCount() < present.getVotersCount()) ? Optional.of(next.build()) : Optional.empty();
	}

	private boolean silent(ReplicaMember voter) {
		long patience = this.state.configuration.membership().replaceAfter().toNanos();
		return !ReplicaId.of(voter).equals(this.state.self) && this.leadership.follower(ReplicaId.of(voter))
			.filter((progress) -> this.state.now - progress.answeredNanos < patience)
			.isEmpty();
	}

	private Membership promoted(ReplicaMember learner) {
		Membership present = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllVoters(present.getVotersList()).addVoters(learner);
		present.getLearnersList().stream().filter((other) -> !other.equals(learner)).forEach(next::addLearners);
		return next.build();
	}

}
