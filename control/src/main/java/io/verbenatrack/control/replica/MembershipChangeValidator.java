package io.verbenatrack.control.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Validates membership changes. A change may add or remove one voter, and a new voter
 * must have caught up as a learner (Ongaro, 2014, sections 4.1 and 4.2.1).
 */
final class MembershipChangeValidator {

	private final ReplicaState state;

	private final Leadership leadership;

	MembershipChangeValidator(ReplicaState state, Leadership leadership) {
		this.state = state;
		this.leadership = leadership;
	}

	Optional<Refusal> validate(Membership next) {
		Membership current = this.state.membership();
		if (!this.leadership.hasCommittedInTerm() || this.state.memberships.currentIndex() > this.state.commitIndex) {
			return Optional.of(Refusal.MEMBERSHIP_CHANGE_PENDING);
		}
		if (this.leadership.exceedsLimit(next)) {
			return Optional.of(Refusal.TOO_MANY_REPLICAS);
		}
		Set<ReplicaId> currentVoters = ids(current.getVotersList());
		Set<ReplicaId> nextVoters = ids(next.getVotersList());
		if (!nextVoters.contains(this.state.self)) {
			return Optional.of(Refusal.LEADER_REMOVED);
		}
		Set<ReplicaId> added = without(nextVoters, currentVoters);
		Set<ReplicaId> removed = without(currentVoters, nextVoters);
		boolean learnersReady = added.stream().allMatch(this::caughtUp);
		return (added.size() + removed.size() <= 1 && learnersReady) ? Optional.empty()
				: Optional.of(Refusal.MEMBERSHIP_CHANGE_TOO_LARGE);
	}

	private boolean caughtUp(ReplicaId replica) {
		return this.leadership.follower(replica)
			.filter((progress) -> progress.matchIndex >= this.state.commitIndex && progress.matchIndex > 0)
			.isPresent();
	}

	private static Set<ReplicaId> ids(List<ReplicaMember> members) {
		return members.stream().map(ReplicaId::of).collect(Collectors.toSet());
	}

	private static Set<ReplicaId> without(Set<ReplicaId> all, Set<ReplicaId> excluded) {
		Set<ReplicaId> remaining = new HashSet<>(all);
		remaining.removeAll(excluded);
		return remaining;
	}

	static String describe(Membership membership) {
		return "voters " + ids(membership.getVotersList()).stream().sorted().toList() + ", learners "
				+ ids(membership.getLearnersList()).stream().sorted().toList();
	}

}
