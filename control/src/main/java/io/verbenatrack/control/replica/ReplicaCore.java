package io.verbenatrack.control.replica;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.HandOver;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * The protocol of one replica: the Raft algorithm as in D. Ongaro, Consensus: Bridging
 * Theory and Practice, Stanford, 2014.
 *
 * <p>
 * It does no I/O and reads no clock: events go in with the time, effects come out. The
 * same events with the same seed give the same effects. Used by one thread.
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
	 * @param recovered what was on its disk
	 * @param random draws election timeouts
	 * @param nowNanos the monotonic time
	 */
	public ReplicaCore(ReplicaConfiguration configuration, RecoveredLog recovered, RandomGenerator random,
			long nowNanos) {
		this.state = new ReplicaState(configuration, recovered, random, nowNanos);
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
	 * @param nowNanos the monotonic time, never less than before
	 * @param event the event
	 */
	public void handle(long nowNanos, ReplicaEvent event) {
		this.state.nowNanos = nowNanos;
		if (this.state.role == ReplicaRole.FAULTED) {
			refuseWhileFaulted(event);
			return;
		}
		switch (event) {
			case ReplicaEvent.Tick tick -> {
			}
			case ReplicaEvent.Received received -> receive(received.message());
			case ReplicaEvent.Synced synced -> synced(synced.ticket());
			case ReplicaEvent.DiskFailed failed -> diskFailed();
			case ReplicaEvent.Proposed proposed -> this.leadership.propose(proposed.token(), proposed.command());
			case ReplicaEvent.ConfirmationRequested asked -> this.leadership.confirm(asked.token());
			case ReplicaEvent.MembershipProposed proposed ->
				this.leadership.changeMembership(proposed.token(), proposed.membership());
			case ReplicaEvent.HandOverRequested asked -> beginHandOver();
			case ReplicaEvent.SnapshotTaken taken -> snapshotTaken(taken.header());
			case ReplicaEvent.ChunkRead read ->
				this.leaderReplication.handleChunkRead(read.to(), read.header(), read.offset(), read.data());
			case ReplicaEvent.ChunkWritten written ->
				this.followerReplication.handleChunkWritten(written.header(), written.nextOffset(), written.complete());
		}
	}

	private void refuseWhileFaulted(ReplicaEvent event) {
		switch (event) {
			case ReplicaEvent.Proposed proposed ->
				this.state.effects.add(new ReplicaEffect.NotLeader(proposed.token(), Optional.empty()));
			case ReplicaEvent.ConfirmationRequested asked ->
				this.state.effects.add(new ReplicaEffect.NotLeader(asked.token(), Optional.empty()));
			case ReplicaEvent.MembershipProposed proposed ->
				this.state.effects.add(new ReplicaEffect.NotLeader(proposed.token(), Optional.empty()));
			default -> {
			}
		}
	}

	/**
	 * Ends a round of events: sends what is due and gives the effects in their order.
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
		if (this.state.allows(RoleChange.HAND_OVER_ASKED)) {
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
		this.state.log.dropThrough(header.getIndex() - this.state.configuration.limits().entriesRetained());
		this.state.memberships.dropBefore(this.state.log.baseIndex());
		this.state.effects.rollLog(this.state.allRecords());
		this.state.trackDurableIndex();
	}

	private void receive(ReplicaMessage message) {
		if (message.hasAnnouncement()) {
			receiveAnnouncement(message);
			return;
		}
		if (!message.getTo().equals(this.state.self.text())) {
			this.formation.handleMisaddressed(message);
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

	// A newcomer may know other members than the leader. What was passed on carries the
	// receiver's full name, so that it never travels in a circle.
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
	 * Gives the next committed entry, in order, each once.
	 * @return the entry, or empty when there is none yet
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
	 * When {@link #flush()} has to be called next, even without an event.
	 * @return the monotonic time in nanoseconds
	 */
	public long nextDeadline() {
		long heartbeat = this.state.configuration.timings().heartbeatInterval().toNanos();
		if (this.state.role.leading() || this.state.role == ReplicaRole.UNFORMED) {
			return this.state.nowNanos + heartbeat / 2;
		}
		return Math.min(this.state.electionDeadlineNanos, this.state.nowNanos + heartbeat * 5);
	}

	/**
	 * Whether this replica may decide: it leads, holds its lease and knows everything
	 * committed before its term.
	 * @return whether it leads
	 */
	public boolean leads() {
		return this.leadership.holdsLease() && this.leadership.hasCommittedInTerm();
	}

	/**
	 * When the lease ends.
	 * @return the monotonic time in nanoseconds, meaningful while {@link #leads()}
	 */
	public long leaseEndNanos() {
		return this.leadership.leaseEndNanos();
	}

	/**
	 * The index from which this leader's own term begins.
	 * @return the index, meaningful while it leads
	 */
	public long termStartIndex() {
		return this.leadership.termStartIndex();
	}

	/**
	 * What this replica does at the moment.
	 * @return the role
	 */
	public ReplicaRole role() {
		return this.state.role;
	}

	/**
	 * The term it is in.
	 * @return the term
	 */
	public long term() {
		return this.state.term();
	}

	/**
	 * Who leads, as far as it knows.
	 * @return the leader
	 */
	public Optional<InstanceId> leader() {
		return this.state.leaderInstance();
	}

	/**
	 * Its own name.
	 * @return the replica
	 */
	public ReplicaId self() {
		return this.state.self;
	}

	/**
	 * The cluster it belongs to.
	 * @return the cluster, empty while it belongs to none
	 */
	public String cluster() {
		return this.state.hardState.getCluster();
	}

	/**
	 * How far its log is known to be committed.
	 * @return the index
	 */
	public long commitIndex() {
		return this.state.commitIndex;
	}

	/**
	 * Where its log ends.
	 * @return the index
	 */
	public long lastIndex() {
		return this.state.log.lastIndex();
	}

	/**
	 * The term of an entry it holds.
	 * @param index the index
	 * @return the term, or -1 when the entry is not held
	 */
	public long termAt(long index) {
		return this.state.log.termAt(index);
	}

	/**
	 * Who holds the log.
	 * @return the latest membership
	 */
	public Membership membership() {
		return this.state.membership();
	}

}
