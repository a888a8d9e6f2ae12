package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Leads the cluster: accepts proposals, advances the commit index and renews the leader
 * lease (Ongaro, 2014, sections 3.5, 3.6, 6.2 and 6.4).
 */
final class Leadership {

	/** The time for a member to answer a new leader, in election timeouts. */
	private static final int FIRST_ANSWER_TIMEOUTS = 3;

	private final ReplicaState state;

	private final Map<ReplicaId, FollowerProgress> followers = new TreeMap<>();

	private final TreeMap<Long, Long> tokensByIndex = new TreeMap<>();

	private final List<Confirmation> confirmations = new ArrayList<>();

	/** The index of the first entry of this leader's term. */
	private long termStartIndex;

	private long startedNanos;

	private boolean leaseGranted;

	private long leaseEndNanos;

	private long handOverDeadlineNanos;

	Leadership(ReplicaState state) {
		this.state = state;
	}

	void start() {
		this.state.leader = Optional.of(this.state.self);
		this.followers.clear();
		this.leaseGranted = false;
		this.startedNanos = this.state.nowNanos;
		this.termStartIndex = this.state.log.lastIndex() + 1;
		append(LogEntry.newBuilder());
		updateFollowers();
		this.state.notifyListener(ReplicaNotice.LEADING, "term " + this.state.term());
	}

	private long append(LogEntry.Builder entry) {
		long index = this.state.log.lastIndex() + 1;
		this.state.append(entry.setIndex(index).setTerm(this.state.term()).build());
		return index;
	}

	private void updateFollowers() {
		List<ReplicaMember> others = this.state.memberships.all()
			.stream()
			.filter((member) -> !ReplicaId.of(member).equals(this.state.self))
			.toList();
		this.followers.keySet().retainAll(others.stream().map(ReplicaId::of).toList());
		for (ReplicaMember member : others) {
			this.followers.computeIfAbsent(ReplicaId.of(member),
					(id) -> new FollowerProgress(member, this.termStartIndex, this.state.nowNanos));
		}
	}

	Collection<FollowerProgress> followers() {
		return this.followers.values();
	}

	Optional<FollowerProgress> follower(ReplicaId replica) {
		return Optional.ofNullable(this.followers.get(replica));
	}

	/**
	 * Returns whether a follower answered a message of the last election timeout.
	 * @param follower the follower
	 * @return whether it is in contact with this leader
	 */
	boolean answeredRecently(FollowerProgress follower) {
		long timeout = this.state.configuration.timings().electionTimeout().toNanos();
		return this.state.nowNanos - follower.lastAnsweredSendNanos < timeout;
	}

	/**
	 * Returns how long a member has not answered this leader.
	 * @param member the member
	 * @return the time in nanoseconds, 0 for this replica and for a member not yet
	 * contacted
	 */
	long silentNanos(ReplicaMember member) {
		return follower(ReplicaId.of(member)).map((progress) -> this.state.nowNanos - progress.lastContactNanos())
			.orElse(0L);
	}

	/**
	 * Returns whether a member has not answered for so long that it may be replaced.
	 * @param member the member
	 * @return whether it is probably gone
	 */
	boolean isSilent(ReplicaMember member) {
		return follower(ReplicaId.of(member)).filter((progress) -> silentNanos(member) >= maxSilenceNanos(progress))
			.isPresent();
	}

	// A member that has never answered this leader was probably gone before its election,
	// so that most of the time allowed has passed already.
	private long maxSilenceNanos(FollowerProgress progress) {
		long graceNanos = this.state.configuration.timings().electionTimeout().toNanos() * FIRST_ANSWER_TIMEOUTS;
		long replaceAfterNanos = this.state.configuration.membershipPolicy().replaceAfter().toNanos();
		return progress.hasReplied ? replaceAfterNanos : Math.min(graceNanos, replaceAfterNanos);
	}

	/**
	 * Returns whether a membership has more replicas than the limit allows. The
	 * incarnations of an instance count once, and replicas that do not answer do not
	 * count, or lost ones would keep their replacements out.
	 * @param membership the membership
	 * @return whether it has too many replicas
	 */
	boolean exceedsLimit(Membership membership) {
		long answering = Stream.concat(membership.getVotersList().stream(), membership.getLearnersList().stream())
			.filter((member) -> !isSilent(member))
			.map(ReplicaMember::getInstance)
			.distinct()
			.count();
		return answering > this.state.configuration.limits().maximumReplicas();
	}

	void propose(long token, ByteString command) {
		if (this.state.role != ReplicaRole.LEADER) {
			this.state.effects.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		if (command.size() > this.state.configuration.limits().commandBytes()) {
			this.state.effects.add(new ReplicaEffect.Refused(token, Refusal.COMMAND_TOO_LARGE));
			return;
		}
		this.tokensByIndex.put(append(LogEntry.newBuilder().setCommand(command)), token);
	}

	private Optional<InstanceId> otherLeader() {
		return this.state.leader.filter((leader) -> !leader.equals(this.state.self)).map(ReplicaId::instance);
	}

	void changeMembership(long token, Membership membership) {
		if (this.state.role != ReplicaRole.LEADER) {
			this.state.effects.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		Optional<Refusal> refusal = new MembershipChangeValidator(this.state, this).validate(membership);
		if (refusal.isPresent()) {
			this.state.effects.add(new ReplicaEffect.Refused(token, refusal.get()));
			return;
		}
		this.tokensByIndex.put(append(LogEntry.newBuilder().setMembership(membership)), token);
		updateFollowers();
		this.state.notifyListener(ReplicaNotice.MEMBERSHIP, MembershipChangeValidator.describe(membership));
	}

	/**
	 * Returns whether the first entry of this term is committed, which implies that all
	 * earlier entries are.
	 * @return whether the commit index covers all earlier terms
	 */
	boolean hasCommittedInTerm() {
		return this.state.commitIndex >= this.termStartIndex;
	}

	long termStartIndex() {
		return this.termStartIndex;
	}

	void advanceCommit() {
		List<Long> matchIndexes = new ArrayList<>();
		for (ReplicaId voter : this.state.memberships.voters()) {
			matchIndexes.add(voter.equals(this.state.self) ? this.state.durableIndex
					: follower(voter).map((progress) -> progress.matchIndex).orElse(0L));
		}
		matchIndexes.sort(Comparator.reverseOrder());
		long index = matchIndexes.get(this.state.memberships.quorum() - 1);
		if (index > this.state.commitIndex && this.state.log.termAt(index) == this.state.term()) {
			this.state.commitIndex = index;
		}
		answerConfirmations();
	}

	void renewLease() {
		List<Long> answeredSendNanos = new ArrayList<>();
		for (ReplicaId voter : this.state.memberships.voters()) {
			if (voter.equals(this.state.self)) {
				answeredSendNanos.add(this.state.nowNanos);
				continue;
			}
			follower(voter).filter((progress) -> progress.hasReplied)
				.ifPresent((progress) -> answeredSendNanos.add(progress.lastAnsweredSendNanos));
		}
		if (answeredSendNanos.size() < this.state.memberships.quorum()) {
			return;
		}
		answeredSendNanos.sort(Comparator.reverseOrder());
		long requestedNanos = answeredSendNanos.get(this.state.memberships.quorum() - 1);
		this.leaseGranted = true;
		this.leaseEndNanos = requestedNanos + this.state.configuration.timings().lease().toNanos();
		this.confirmations.replaceAll((confirmation) -> confirmation.confirmedBy(requestedNanos));
		answerConfirmations();
	}

	boolean holdsLease() {
		return this.state.role.leading() && this.leaseGranted && this.state.nowNanos - this.leaseEndNanos < 0;
	}

	long leaseEndNanos() {
		return this.leaseEndNanos;
	}

	boolean leaseGranted() {
		return this.leaseGranted;
	}

	boolean quorumLost() {
		long timeout = this.state.configuration.timings().electionTimeout().toNanos();
		long lease = this.state.configuration.timings().lease().toNanos();
		long lastQuorumContact = this.leaseGranted ? this.leaseEndNanos - lease : this.startedNanos;
		return this.state.nowNanos - lastQuorumContact > timeout;
	}

	void confirm(long token) {
		if (!this.state.role.leading()) {
			this.state.effects.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		this.confirmations.add(new Confirmation(token, this.state.nowNanos, holdsLease()));
		answerConfirmations();
	}

	private void answerConfirmations() {
		if (!hasCommittedInTerm()) {
			return;
		}
		this.confirmations.removeIf((confirmation) -> {
			if (confirmation.quorum()) {
				this.state.effects
					.add(new ReplicaEffect.Confirmed(confirmation.token(), this.state.term(), this.state.commitIndex));
			}
			return confirmation.quorum();
		});
	}

	long removeToken(long index) {
		Long token = this.tokensByIndex.remove(index);
		return (token != null) ? token : 0;
	}

	/**
	 * Ends the leadership. Answers pending confirmations and reports uncommitted
	 * proposals as unknown.
	 */
	void stop() {
		for (Confirmation confirmation : this.confirmations) {
			this.state.effects.add(new ReplicaEffect.NotLeader(confirmation.token(), Optional.empty()));
		}
		this.confirmations.clear();
		Map<Long, Long> uncommitted = this.tokensByIndex.tailMap(this.state.commitIndex, false);
		uncommitted.values().forEach((token) -> this.state.effects.add(new ReplicaEffect.Unknown(token)));
		uncommitted.clear();
		this.followers.clear();
		this.leaseGranted = false;
		this.state.notifyListener(ReplicaNotice.STEPPED_DOWN, "term " + this.state.term());
	}

	void beginHandOver() {
		this.handOverDeadlineNanos = this.state.nowNanos
				+ this.state.configuration.timings().electionTimeout().toNanos();
	}

	boolean handOverTimedOut() {
		return this.state.nowNanos - this.handOverDeadlineNanos > 0;
	}

	/**
	 * Returns the follower to hand over to: one with the complete log, once every entry
	 * is committed.
	 * @return the follower, or empty if none is ready
	 */
	Optional<FollowerProgress> successor() {
		if (this.state.commitIndex < this.state.log.lastIndex()) {
			return Optional.empty();
		}
		return this.state.memberships.voters()
			.stream()
			.flatMap((voter) -> follower(voter).stream())
			.filter((progress) -> progress.matchIndex == this.state.log.lastIndex())
			.max(Comparator.comparingLong((progress) -> progress.lastAnsweredSendNanos));
	}

	private record Confirmation(long token, long requestedNanos, boolean quorum) {

		private Confirmation confirmedBy(long quorumRequestedNanos) {
			return new Confirmation(this.token, this.requestedNanos,
					this.quorum || quorumRequestedNanos - this.requestedNanos >= 0);
		}

	}

}
