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
 * replica with a new one. The replacement joins as a learner. Once it has caught up, a
 * voter that lost its disk is removed and the learner becomes a voter; it becomes one
 * before a voter that is only silent is removed. A learner that no longer answers is
 * removed; it announces itself and joins again if it is not gone.
 */
final class MembershipRepair {

	/** The token of a change that the leader makes itself and nobody waits for. */
	private static final long NO_TOKEN = 0;

	/**
	 * After how many times the silence that replaces a voter a learner is removed. It is
	 * not urgent, since a silent learner takes no place, and a frozen instance keeps its
	 * membership.
	 */
	private static final int LEARNER_REMOVAL_FACTOR = 3;

	private final ReplicaState state;

	private final Leadership leadership;

	/** When each learner was last seen to have caught up, or reported as behind. */
	private final Map<ReplicaId, Long> learnersSinceNanos = new TreeMap<>();

	/** When each replica that is not admitted was last reported. */
	private final Map<ReplicaId, Long> turnedAwayNanos = new TreeMap<>();

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
		Membership.Builder next = current.toBuilder().clearLearners();
		current.getLearnersList()
			.stream()
			.filter((learner) -> !learner.getInstance().equals(member.getInstance()))
			.forEach(next::addLearners);
		Membership withLearner = next.addLearners(member).build();
		if (this.leadership.exceedsLimit(withLearner)) {
			reportTurnedAway(ReplicaId.of(member));
			return;
		}
		this.state.notifyListener(ReplicaNotice.REPLACING, ReplicaId.of(member).text());
		this.leadership.changeMembership(NO_TOKEN, withLearner);
	}

	private void reportTurnedAway(ReplicaId replica) {
		this.turnedAwayNanos.values().removeIf((reported) -> this.state.nowNanos - reported >= replaceAfterNanos());
		if (this.turnedAwayNanos.putIfAbsent(replica, this.state.nowNanos) == null) {
			this.state.notifyListener(ReplicaNotice.TURNED_AWAY,
					replica.text() + ", limit " + this.state.configuration.limits().maximumReplicas() + ", "
							+ MembershipChangeValidator.describe(this.state.membership()));
		}
	}

	void tick() {
		reportLearnersBehind();
		if (changePending() || this.state.role != ReplicaRole.LEADER) {
			return;
		}
		this.state.membership()
			.getLearnersList()
			.stream()
			.filter(this::caughtUp)
			.flatMap((learner) -> repairWith(learner).stream())
			.findFirst()
			.or(this::withoutSurplusVoter)
			.or(this::withoutGoneLearner)
			.ifPresent((next) -> this.leadership.changeMembership(NO_TOKEN, next));
	}

	private Optional<Membership> repairWith(ReplicaMember learner) {
		return withoutLostVoter(learner).or(() -> promotion(learner)).or(() -> promotionForSilentVoter(learner));
	}

	private Optional<Membership> withoutGoneLearner() {
		return this.state.membership()
			.getLearnersList()
			.stream()
			.filter((learner) -> this.leadership.silentNanos(learner) >= replaceAfterNanos() * LEARNER_REMOVAL_FACTOR)
			.findFirst()
			.map(this::withoutLearner);
	}

	private Membership withoutLearner(ReplicaMember gone) {
		this.state.notifyListener(ReplicaNotice.REMOVED, describe(gone));
		Membership.Builder next = this.state.membership().toBuilder().clearLearners();
		this.state.membership()
			.getLearnersList()
			.stream()
			.filter((learner) -> !learner.equals(gone))
			.forEach(next::addLearners);
		return next.build();
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
				this.state.notifyListener(ReplicaNotice.LEARNER_BEHIND, describe(learner));
			}
			if (caughtUp || overdue) {
				this.learnersSinceNanos.put(id, this.state.nowNanos);
			}
		}
	}

	private String describe(ReplicaMember member) {
		ReplicaId id = ReplicaId.of(member);
		return id.text() + this.leadership.follower(id)
			.map((progress) -> ", mode " + progress.mode + ", has " + progress.matchIndex + " of "
					+ this.state.commitIndex + " entries, last answered "
					+ Duration.ofNanos(this.leadership.silentNanos(member)).toMillis() + " ms ago")
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
		boolean unpaired = voters % 2 == 0 && silentVoter().isEmpty();
		return (belowTarget || unpaired) ? Optional.of(promoted(learner)) : Optional.empty();
	}

	// The learner becomes a voter before the silent voter leaves: a silent voter may come
	// back, and if another one is lost before the change commits, its vote is needed.
	private Optional<Membership> promotionForSilentVoter(ReplicaMember learner) {
		boolean odd = this.state.membership().getVotersCount() % 2 == 1;
		return silentVoter().filter((voter) -> odd).map((voter) -> promoted(learner));
	}

	// An odd number of voters is kept: one fewer would tolerate one failure less.
	private Optional<Membership> withoutSurplusVoter() {
		int voters = this.state.membership().getVotersCount();
		boolean surplus = voters > this.state.configuration.membershipPolicy().targetVoters() && voters % 2 == 0;
		return surplus ? withoutSilentVoter() : Optional.empty();
	}

	private Optional<ReplicaMember> silentVoter() {
		return this.state.membership().getVotersList().stream().filter(this.leadership::isSilent).findFirst();
	}

	private Optional<Membership> withoutSilentVoter() {
		Optional<ReplicaMember> silentVoter = silentVoter();
		silentVoter.ifPresent((voter) -> this.state.notifyListener(ReplicaNotice.REMOVED, describe(voter)));
		return silentVoter.flatMap((voter) -> without(voter::equals));
	}

	private Optional<Membership> without(Predicate<ReplicaMember> removed) {
		Membership current = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllLearners(current.getLearnersList());
		current.getVotersList().stream().filter(removed.negate()).forEach(next::addVoters);
		return (next.getVotersCount() < current.getVotersCount()) ? Optional.of(next.build()) : Optional.empty();
	}

	private Membership promoted(ReplicaMember learner) {
		Membership current = this.state.membership();
		Membership.Builder next = Membership.newBuilder().addAllVoters(current.getVotersList()).addVoters(learner);
		current.getLearnersList().stream().filter((other) -> !other.equals(learner)).forEach(next::addLearners);
		return next.build();
	}

}
