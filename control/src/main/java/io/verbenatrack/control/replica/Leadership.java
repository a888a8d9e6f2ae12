package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * What a leader does: it takes proposals, counts which entries a quorum holds, and keeps
 * its lease (Ongaro, 2014, sections 3.5, 3.6, 6.2 and 6.4).
 */
final class Leadership {

	private final ReplicaState state;

	private final Map<ReplicaId, FollowerProgress> followers = new TreeMap<>();

	private final TreeMap<Long, Long> tokens = new TreeMap<>();

	private final List<Confirmation> confirmations = new ArrayList<>();

	/** The index of the entry that opened this term. */
	private long openingIndex;

	private long startedNanos;

	private boolean leased;

	private long leaseEnd;

	private long handOverDeadline;

	Leadership(ReplicaState state) {
		this.state = state;
	}

	void start() {
		this.state.leader = Optional.of(this.state.self);
		this.followers.clear();
		this.leased = false;
		this.startedNanos = this.state.now;
		this.openingIndex = this.state.log.lastIndex() + 1;
		append(LogEntry.newBuilder());
		updateFollowers();
		this.state.note(ReplicaNotice.LEADING, "term " + this.state.term());
	}

	private long append(LogEntry.Builder entry) {
		long index = this.state.log.lastIndex() + 1;
		this.state.append(entry.setIndex(index).setTerm(this.state.term()).build());
		return index;
	}

	private void updateFollowers() {
		List<ReplicaMember> others = this.state.members.all()
			.stream()
			.filter((member) -> !ReplicaId.of(member).equals(this.state.self))
			.toList();
		this.followers.keySet().retainAll(others.stream().map(ReplicaId::of).toList());
		for (ReplicaMember member : others) {
			this.followers.computeIfAbsent(ReplicaId.of(member),
					(id) -> new FollowerProgress(member, this.openingIndex));
		}
	}

	Collection<FollowerProgress> followers() {
		return this.followers.values();
	}

	Optional<FollowerProgress> follower(ReplicaId replica) {
		return Optional.ofNullable(this.followers.get(replica));
	}

	void propose(long token, ByteString command) {
		if (this.state.role != ReplicaRole.LEADER) {
			this.state.outbox.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		if (command.size() > this.state.configuration.limits().commandBytes()) {
			this.state.outbox.add(new ReplicaEffect.Refused(token, Refusal.COMMAND_TOO_LARGE));
			return;
		}
		this.tokens.put(append(LogEntry.newBuilder().setCommand(command)), token);
	}

	private Optional<InstanceId> otherLeader() {
		return this.state.leader.filter((leader) -> !leader.equals(this.state.self)).map(ReplicaId::instance);
	}

	void changeMembership(long token, Membership membership) {
		if (this.state.role != ReplicaRole.LEADER) {
			this.state.outbox.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		Optional<Refusal> refusal = new MembershipRule(this.state, this).refuse(membership);
		if (refusal.isPresent()) {
			this.state.outbox.add(new ReplicaEffect.Refused(token, refusal.get()));
			return;
		}
		this.tokens.put(append(LogEntry.newBuilder().setMembership(membership)), token);
		updateFollowers();
		this.state.note(ReplicaNotice.MEMBERSHIP, MembershipRule.describe(membership));
	}

	/**
	 * Whether the entry that opened this term is committed, so that all earlier ones are
	 * known to be.
	 * @return whether the leader knows what is committed
	 */
	boolean established() {
		return this.state.commitIndex >= this.openingIndex;
	}

	long openingIndex() {
		return this.openingIndex;
	}

	void advanceCommit() {
		List<Long> held = new ArrayList<>();
		for (ReplicaId voter : this.state.members.voters()) {
			held.add(voter.equals(this.state.self) ? this.state.durableIndex
					: follower(voter).map((progress) -> progress.matchIndex).orElse(0L));
		}
		held.sort(Comparator.reverseOrder());
		long index = held.get(this.state.members.quorum() - 1);
		if (index > this.state.commitIndex && this.state.log.termAt(index) == this.state.term()) {
			this.state.commitIndex = index;
		}
		answerConfirmations();
	}

	void renewLease() {
		List<Long> answered = new ArrayList<>();
		for (ReplicaId voter : this.state.members.voters()) {
			if (voter.equals(this.state.self)) {
				answered.add(this.state.now);
				continue;
			}
			follower(voter).filter((progress) -> progress.answered)
				.ifPresent((progress) -> answered.add(progress.answeredNanos));
		}
		if (answered.size() < this.state.members.quorum()) {
			return;
		}
		answered.sort(Comparator.reverseOrder());
		long askedNanos = answered.get(this.state.members.quorum() - 1);
		this.leased = true;
		this.leaseEnd = askedNanos + this.state.configuration.timings().lease().toNanos();
		this.confirmations.replaceAll((asked) -> asked.confirmedBy(askedNanos));
		answerConfirmations();
	}

	boolean holdsLease() {
		return this.state.role.leading() && this.leased && this.state.now - this.leaseEnd < 0;
	}

	long leaseEnd() {
		return this.leaseEnd;
	}

	boolean leased() {
		return this.leased;
	}

	boolean quorumLost() {
		long timeout = this.state.configuration.timings().electionTimeout().toNanos();
		long lease = this.state.configuration.timings().lease().toNanos();
		long heard = this.leased ? this.leaseEnd - lease : this.startedNanos;
		return this.state.now - heard > timeout;
	}

	void confirm(long token) {
		if (!this.state.role.leading()) {
			this.state.outbox.add(new ReplicaEffect.NotLeader(token, otherLeader()));
			return;
		}
		this.confirmations.add(new Confirmation(token, this.state.now, holdsLease()));
		answerConfirmations();
	}

	private void answerConfirmations() {
		if (!established()) {
			return;
		}
		this.confirmations.removeIf((asked) -> {
			if (asked.quorum()) {
				this.state.outbox
					.add(new ReplicaEffect.Confirmed(asked.token(), this.state.term(), this.state.commitIndex));
			}
			return asked.quorum();
		});
	}

	long takeToken(long index) {
		Long token = this.tokens.remove(index);
		return (token != null) ? token : 0;
	}

	/** Ends what was begun in this term. */
	void stop() {
		for (Confirmation asked : this.confirmations) {
			this.state.outbox.add(new ReplicaEffect.NotLeader(asked.token(), Optional.empty()));
		}
		this.confirmations.clear();
		Map<Long, Long> lost = this.tokens.tailMap(this.state.commitIndex, false);
		lost.values().forEach((token) -> this.state.outbox.add(new ReplicaEffect.Unknown(token)));
		lost.clear();
		this.followers.clear();
		this.leased = false;
		this.state.note(ReplicaNotice.STEPPED_DOWN, "term " + this.state.term());
	}

	void beginHandOver() {
		this.handOverDeadline = this.state.now + this.state.configuration.timings().electionTimeout().toNanos();
	}

	boolean handOverTimedOut() {
		return this.state.now - this.handOverDeadline > 0;
	}

	/**
	 * The follower to hand over to, once it holds everything and everything is committed.
	 * @return the follower, or empty when none is ready
	 */
	Optional<FollowerProgress> successor() {
		if (this.state.commitIndex < this.state.log.lastIndex()) {
			return Optional.empty();
		}
		return this.state.members.voters()
			.stream()
			.flatMap((voter) -> follower(voter).stream())
			.filter((progress) -> progress.matchIndex == this.state.log.lastIndex())
			.max(Comparator.comparingLong((progress) -> progress.answeredNanos));
	}

	private record Confirmation(long token, long askedNanos, boolean quorum) {

		private Confirmation confirmedBy(long quorumAskedNanos) {
			return new Confirmation(this.token, this.askedNanos,
					this.quorum || quorumAskedNanos - this.askedNanos >= 0);
		}

	}

}
