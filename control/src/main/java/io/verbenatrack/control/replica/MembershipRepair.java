package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Replaces a replica that lost its disk with its new incarnation, and an unresponsive
 * replica with a new one. The replacement joins as a learner. Once it has caught up, the
 * lost voter is removed and the learner becomes a voter.
 */
final class MembershipRepair {

	/** The token of a change that the leader makes itself and nobody waits for. */
	private static final long NO_TOKEN = 0;

	/** The time for a voter to answer a new leader, in election timeouts. */
	private static final int FIRST_ANSWER_TIMEOUTS = 3;

	private final ReplicaState state;

	private final Leadership leadership;

	/** When each learner was last seen to have caught up, or reported as behind. */
	private final Map<ReplicaId, Long> learnersSinceNanos = new TreeMap<>();

	MembershipRepair(ReplicaState state, Leadership leadership) {
		this.state = state;
		this.leadership = leadership;
	}

	private boolean changePending() {
		return !this.leadership.hasCommittedInTerm() || this.state.memberships.currentIndex() > this.state.commitIndex;
	}

	void handleAnnouncement(ReplicaMember member) {
		if (changePending() || this.state.memberships.find(ReplicaId.of(member)).isPresent()) {
			return;
		}
		Membership current = this.state.membership();
		boolean known = this.state.memberships.all()
			.stream()
			.anyMatch((other) -> other.getInstance().equals(member.getInstance()));
		int replicas = current.getVotersCount() + current.getLearnersCount();
		if (!known && replicas >= this.state.configuration.limits().maximumReplicas()) {
			return;
		}
		Membership.Builder next = current.toBuilder().clearLearners();
		current.getLearnersList()
			.stream()
			.filter((learner) -> !learner.getInstance().equals(member.getInstance()))
			.forEach(next::addLearners);
		this.state.notifyListener(ReplicaNotice.REPLACING, ReplicaId.of(member).text());
		this.leadership.changeMembership(NO_TOKEN, next.addLearners(member).build());
	}

	void tick() {
		reportLearnersBehind();
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

	private void reportLearnersBehind() {
		List<ReplicaMember> learners = this.state.membership().getLearnersList();
		this.learnersSinceNanos.keySet().retainAll(learners.stream().map(ReplicaId::of).toList());
		for (ReplicaMember learner : learners) {
			ReplicaId id = ReplicaId.of(learner);
			long since = this.learnersSinceNanos.computeIfAbsent(id, (added) -> this.state.nowNanos);
			boolean caughtUp = caughtUp(learner);
			boolean overdue = !caughtUp && this.state.nowNanos - since >= replaceAfterNanos();
			if (overdue) {
				this.state.notifyListener(ReplicaNotice.LEARNER_BEHIND, describe(id));
			}
			if (caughtUp || overdue) {
				this.learnersSinceNanos.put(id, this.state.nowNanos);
			}
		}
	}

	private String describe(ReplicaId learner) {
		return learner.text()
				+ this.leadership.follower(learner)
					.map((progress) -> ", mode " + progress.mode + ", has " + progress.matchIndex + " of "
							+ this.state.commitIndex + " entries, last answered "
							+ Duration.ofNanos(this.state.nowNanos - this.leadership.lastContactNanos(progress))
								.toMillis()
							+ " ms ago")
					.orElse("");
	}

	private long replaceAfterNanos() {
		return this.state.configuration.membershipPolicy().replaceAfter().toNanos();
	}

	private boolean caughtUp(ReplicaMember learner) {
		return this.leadership.follower(ReplicaId.of(learner))
			.filter((progress) -> progress.mode == FollowerProgress.Mode.STREAM)
			.filter((progress) -> progress.matchIndex >= this.state.commitIndex)
			.filter(this.leadership::answeredRecently)
			.isPresent();
	}

	private Optional<Membership> withoutLostVoter(ReplicaMember learner) {
		return without((voter) -> voter.getInstance().equals(learner.getInstance()));
	}

	// A new replica stays a learner once the target number of voters is reached, because
	// an even number of voters tolerates no more failures.
	private Optional<Membership> promotion(ReplicaMember learner) {
		int voters = this.state.membership().getVotersCount();
		boolean belowTarget = voters < this.state.configuration.membershipPolicy().targetVoters();
		return (belowTarget || voters % 2 == 0) ? Optional.of(promoted(learner)) : Optional.empty();
	}

	// Removes one voter at a time, because a membership change may add or remove only
	// one.
	private Optional<Membership> withoutSilentVoter() {
		Optional<ReplicaMember> silentVoter = this.state.membership()
			.getVotersList()
			.stream()
			.filter(this::isSilent)
			.findFirst();
		return silentVoter.flatMap((voter) -> without(voter::equals));
	}

	private Optional<Membership> without(Predicate<ReplicaMember> removed) {
		Membership current = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllLearners(current.getLearnersList());
		current.getVotersList().stream().filter(removed.negate()).forEach(next::addVoters);
		return (next.getVotersCount() < current.getVotersCount()) ? Optional.of(next.build()) : Optional.empty();
	}

	private boolean isSilent(ReplicaMember voter) {
		return !ReplicaId.of(voter).equals(this.state.self) && this.leadership.follower(ReplicaId.of(voter))
			.filter((progress) -> this.state.nowNanos
					- this.leadership.lastContactNanos(progress) < maxSilenceNanos(progress))
			.isEmpty();
	}

	// A voter that has never answered this leader was probably gone before its election,
	// so that most of the time allowed has passed already.
	private long maxSilenceNanos(FollowerProgress progress) {
		long graceNanos = this.state.configuration.timings().electionTimeout().toNanos() * FIRST_ANSWER_TIMEOUTS;
		return progress.hasReplied ? replaceAfterNanos() : Math.min(graceNanos, replaceAfterNanos());
	}

	private Membership promoted(ReplicaMember learner) {
		Membership current = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllVoters(current.getVotersList()).addVoters(learner);
		current.getLearnersList().stream().filter((other) -> !other.equals(learner)).forEach(next::addLearners);
		return next.build();
	}

}
