package io.verbenatrack.control.replica;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.HandOver;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The protocol of one replica: the Raft algorithm as described in D. Ongaro, Consensus:
 * Bridging Theory and Practice, Stanford, 2014.
 *
 * <p>
 * This class does no I/O and reads no clock: it takes events with their time and returns
 * effects. The same events with the same seed give the same effects. It is not
 * thread-safe.
 */
public final class ReplicaCore {

	private final ReplicaState state;

	private final Elections elections;

	private final Leadership leadership;

	private final LeaderReplication leaderReplication;

	private final FollowerReplication followerReplication;

	private final ClusterFormation formation;

	private final MembershipRepair repair;

	private long deliveredIndex;

	/**
	 * Starts a replica.
	 * @param configuration its settings
	 * @param recovered the state recovered from its disk
	 * @param random the source of random election timeouts
	 * @param now the readings of its lease clock
	 */
	public ReplicaCore(ReplicaConfiguration configuration, RecoveredLog recovered, RandomGenerator random,
			ClockReading now) {
		this.state = new ReplicaState(configuration, recovered, random, now);
		this.leadership = new Leadership(this.state);
		this.elections = new Elections(this.state, this.leadership::start);
		this.leaderReplication = new LeaderReplication(this.state, this.leadership);
		this.followerReplication = new FollowerReplication(this.state);
		this.formation = new ClusterFormation(this.state);
		this.repair = new MembershipRepair(this.state, this.leadership);
		this.deliveredIndex = this.state.commitIndex;
	}

	/**
	 * Handles an event.
	 * @param now the readings of its lease clock, never less than before
	 * @param event the event
	 */
	public void handle(ClockReading now, ReplicaEvent event) {
		this.state.advanceClock(now);
		if (this.state.role == ReplicaRole.FAULTED) {
			handleWhileFaulted(event);
			return;
		}
		switch (event) {
			case ReplicaEvent.Tick tick -> {
			}
			case ReplicaEvent.Received received -> receive(received.message());
			case ReplicaEvent.SeedsChanged changed -> this.formation.useSeeds(changed.seeds());
			case ReplicaEvent.Synced synced -> synced(synced.ticket());
			case ReplicaEvent.DiskFailed failed -> diskFailed();
			case ReplicaEvent.Proposed proposed -> this.leadership.propose(proposed.token(), proposed.command());
			case ReplicaEvent.ConfirmationRequested requested -> this.leadership.confirm(requested.token());
			case ReplicaEvent.MembershipProposed proposed ->
				this.leadership.changeMembership(proposed.token(), proposed.membership());
			case ReplicaEvent.HandOverRequested requested -> beginHandOver();
			case ReplicaEvent.SnapshotTaken taken -> snapshotTaken(taken.header());
			case ReplicaEvent.ChunkRead read ->
				this.leaderReplication.handleChunkRead(read.to(), read.header(), read.offset(), read.data());
			case ReplicaEvent.ChunkWritten written ->
				this.followerReplication.handleChunkWritten(written.header(), written.nextOffset(), written.complete());
		}
	}

	private void handleWhileFaulted(ReplicaEvent event) {
		switch (event) {
			case ReplicaEvent.SeedsChanged changed -> this.formation.useSeeds(changed.seeds());
			case ReplicaEvent.Proposed proposed ->
				this.state.effects.add(new ReplicaEffect.NotLeader(proposed.token(), Optional.empty()));
			case ReplicaEvent.ConfirmationRequested requested ->
				this.state.effects.add(new ReplicaEffect.NotLeader(requested.token(), Optional.empty()));
			case ReplicaEvent.MembershipProposed proposed ->
				this.state.effects.add(new ReplicaEffect.NotLeader(proposed.token(), Optional.empty()));
			default -> {
			}
		}
	}

	/**
	 * Completes a batch of events: sends the messages that are due and returns the
	 * effects in order.
	 * @return the effects since the last call
	 */
	public List<ReplicaEffect> flush() {
		this.formation.tick();
		this.elections.tick();
		if (this.state.role.leading()) {
			tickLeader();
		}
		return this.state.effects.drain();
	}

	private void tickLeader() {
		this.leadership.renewLease();
		if (this.leadership.quorumLost()) {
			stopLeading(RoleChange.QUORUM_LOST);
			return;
		}
		this.repair.tick();
		this.leaderReplication.replicate();
		this.state.trackDurableIndex();
		this.leadership.advanceCommit();
		if (this.state.role == ReplicaRole.HANDING_OVER) {
			handOver();
		}
	}

	private void beginHandOver() {
		if (this.state.canTransition(RoleChange.HAND_OVER_ASKED)) {
			this.state.transition(RoleChange.HAND_OVER_ASKED);
			this.leadership.beginHandOver();
		}
	}

	private void handOver() {
		Optional<FollowerProgress> successor = this.leadership.successor();
		if (successor.isPresent()) {
			var member = successor.get().member;
			this.state.send(member, this.state.message(member).setHandOver(HandOver.getDefaultInstance()));
		}
		if (successor.isPresent() || this.leadership.handOverTimedOut()) {
			stopLeading(RoleChange.HANDED_OVER);
		}
	}

	private void stopLeading(RoleChange change) {
		this.state.transition(change);
		this.leadership.stop();
		this.state.leader = Optional.empty();
		this.state.resetElectionDeadline();
	}

	private void synced(long ticket) {
		this.state.effects.synced(ticket);
		if (this.state.role.leading()) {
			this.leadership.advanceCommit();
		}
	}

	private void diskFailed() {
		if (this.state.role.leading()) {
			stopLeading(RoleChange.DISK_FAILED);
		}
		else {
			this.state.transition(RoleChange.DISK_FAILED);
		}
		this.state.leader = Optional.empty();
		this.state.notifyListener(ReplicaNotice.DISK_FAILED, this.state.self.text());
	}

	private void snapshotTaken(SnapshotHeader header) {
		if (header.getIndex() <= this.state.snapshot.getIndex() || header.getIndex() > this.state.commitIndex) {
			return;
		}
		this.state.snapshot = header;
		LogLimits limits = this.state.configuration.limits().log();
		this.state.log.discardThrough(
				this.state.log.discardable(header.getIndex(), limits.entriesRetained(), limits.bytesRetained()));
		this.state.memberships.discardBefore(this.state.log.baseIndex());
		this.state.effects.rollLog(this.state.allRecords());
		this.state.notifyListener(ReplicaNotice.COMPACTED,
				"snapshot of " + header.getLength() + " bytes up to index " + header.getIndex() + ", log from index "
						+ (this.state.log.baseIndex() + 1) + " to " + this.state.log.lastIndex());
		this.state.trackDurableIndex();
	}

	private void receive(ReplicaMessage message) {
		if (message.hasAnnouncement()) {
			receiveAnnouncement(message);
			return;
		}
		if (!message.getTo().equals(this.state.self.text())) {
			this.formation.handleExistingCluster(message);
			return;
		}
		if (!acceptCluster(message)) {
			return;
		}
		if (message.hasVoteRequest() && this.elections.mustIgnore(message.getVoteRequest())) {
			return;
		}
		if (message.getTerm() > this.state.term()) {
			enterTermOf(message);
		}
		dispatch(message);
	}

	private boolean acceptCluster(ReplicaMessage message) {
		if (this.state.role == ReplicaRole.UNFORMED) {
			if (this.formation.forming()
					|| !message.getCluster().startsWith(this.state.configuration.clusterName() + "-")) {
				return false;
			}
			this.formation.join(message.getCluster());
			return true;
		}
		boolean same = message.getCluster().equals(this.state.hardState.getCluster());
		if (!same) {
			this.state.notifyListener(ReplicaNotice.OTHER_CLUSTER, message.getCluster() + " at " + message.getFrom());
		}
		return same;
	}

	private void receiveAnnouncement(ReplicaMessage message) {
		if (this.state.role.leading()) {
			this.repair.handleAnnouncement(message.getAnnouncement().getMember());
			return;
		}
		if (this.state.role != ReplicaRole.UNFORMED) {
			forwardToLeader(message);
			return;
		}
		this.formation.handleAnnouncement(message);
	}

	// A new replica may not know the leader. A forwarded announcement carries the
	// recipient's full identifier and is not forwarded again, so it cannot loop.
	private void forwardToLeader(ReplicaMessage announcement) {
		if (!announcement.getTo().equals(this.state.self.text())) {
			this.state.leaderMember()
				.ifPresent((leader) -> this.state.send(leader,
						announcement.toBuilder().setTo(ReplicaId.of(leader).text())));
		}
	}

	private void enterTermOf(ReplicaMessage message) {
		stepDown();
		this.state.enterTerm(message.getTerm());
	}

	private void stepDown() {
		if (this.state.role.leading()) {
			stopLeading(RoleChange.OUTRANKED);
			return;
		}
		this.state.transition(RoleChange.OUTRANKED);
	}

	private void dispatch(ReplicaMessage message) {
		boolean sameTerm = message.getTerm() == this.state.term();
		switch (message.getBodyCase()) {
			case VOTE_REQUEST -> this.elections.handleRequest(message);
			case VOTE_REPLY -> this.elections.handleReply(message);
			case APPEND_REQUEST, SNAPSHOT_CHUNK -> receiveFromLeader(message, sameTerm);
			case APPEND_REPLY -> {
				if (sameTerm && this.state.role.leading()) {
					this.leaderReplication.handleAppendReply(message, message.getAppendReply());
				}
			}
			case SNAPSHOT_REPLY -> {
				if (sameTerm && this.state.role.leading()) {
					this.leaderReplication.handleSnapshotReply(message, message.getSnapshotReply());
				}
			}
			case HAND_OVER -> {
				if (sameTerm) {
					this.elections.takeOver();
				}
			}
			default -> {
			}
		}
	}

	private void receiveFromLeader(ReplicaMessage message, boolean sameTerm) {
		if (!sameTerm) {
			replyWithHigherTerm(message);
			return;
		}
		if (this.state.role.leading()) {
			throw new IllegalStateException("Two leaders in term " + this.state.term() + ": " + this.state.self
					+ " and " + message.getFrom() + ". Stop both and report this fault.");
		}
		this.state.transition(RoleChange.OUTRANKED);
		if (message.hasAppendRequest()) {
			this.followerReplication.handleAppend(message, message.getAppendRequest());
		}
		else {
			this.followerReplication.handleSnapshotChunk(message, message.getSnapshotChunk());
		}
	}

	private void replyWithHigherTerm(ReplicaMessage message) {
		var sender = this.state.senderOf(message);
		var reply = this.state.message(sender).setAppendReply(AppendReply.getDefaultInstance());
		this.state.effects.runWhenDurable(() -> this.state.send(sender, reply));
	}

	/**
	 * Returns the next committed entry. Each entry is returned once, in log order.
	 * @return the entry, or empty if there is none yet
	 */
	public Optional<CommittedEntry> nextCommitted() {
		this.deliveredIndex = Math.max(this.deliveredIndex, this.state.log.baseIndex());
		if (this.deliveredIndex >= this.state.commitIndex) {
			return Optional.empty();
		}
		this.deliveredIndex++;
		return Optional.of(new CommittedEntry(this.state.log.entry(this.deliveredIndex),
				this.leadership.removeToken(this.deliveredIndex), this.state.memberships.at(this.deliveredIndex)));
	}

	/**
	 * Returns how long after the latest event {@link #flush()} must be called next, even
	 * without an event.
	 * @return the time in nanoseconds, negative when it has passed
	 */
	public long nextTickNanos() {
		long heartbeat = this.state.configuration.timings().heartbeatInterval().toNanos();
		if (this.state.role.leading() || this.state.role == ReplicaRole.UNFORMED) {
			return heartbeat / 2;
		}
		return Math.min(this.state.electionDeadline.nanosSince(this.state.grantedNow), heartbeat * 5);
	}

	/**
	 * Returns whether this replica may act as leader: it is the leader, holds its lease
	 * and knows every entry committed before its term.
	 * @return whether it may act as leader
	 */
	public boolean leads() {
		return this.leadership.holdsLease() && this.leadership.hasCommittedInTerm();
	}

	/**
	 * Returns when the leader lease ends.
	 * @return the time, meaningful while {@link #leads()}
	 */
	public HeldTime leaseEnd() {
		return new HeldTime(this.leadership.leaseEndNanos());
	}

	/**
	 * Returns the index of the first entry of this leader's term.
	 * @return the index, meaningful while this replica is the leader
	 */
	public long termStartIndex() {
		return this.leadership.termStartIndex();
	}

	/**
	 * Returns the current role.
	 * @return the role
	 */
	public ReplicaRole role() {
		return this.state.role;
	}

	/**
	 * Returns the current term.
	 * @return the term
	 */
	public long term() {
		return this.state.term();
	}

	/**
	 * Returns the leader known to this replica.
	 * @return the leader, or empty if it is unknown
	 */
	public Optional<InstanceId> leader() {
		return this.state.leaderInstance();
	}

	/**
	 * Returns the identifier of this replica.
	 * @return the identifier
	 */
	public ReplicaId self() {
		return this.state.self;
	}

	/**
	 * Returns the cluster that it belongs to.
	 * @return the cluster id, empty while it belongs to none
	 */
	public String cluster() {
		return this.state.hardState.getCluster();
	}

	/**
	 * Returns the highest index known to be committed.
	 * @return the index
	 */
	public long commitIndex() {
		return this.state.commitIndex;
	}

	/**
	 * Returns the last index of the log.
	 * @return the index
	 */
	public long lastIndex() {
		return this.state.log.lastIndex();
	}

	/**
	 * Returns the term of an entry.
	 * @param index the index
	 * @return the term, or -1 if the entry is not in memory
	 */
	public long termAt(long index) {
		return this.state.log.termAt(index);
	}

	/**
	 * Returns the latest membership in the log.
	 * @return the latest membership
	 */
	public Membership membership() {
		return this.state.membership();
	}

}
