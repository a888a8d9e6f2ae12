package io.verbenatrack.control.replica;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.VoteReply;
import io.verbenatrack.protocol.control.VoteRequest;

/**
 * Elects a leader: Raft with a pre-vote, and voters that stand by a leader they heard
 * within the election timeout (Ongaro, 2014, sections 3.4, 4.2.3 and 9.6).
 */
final class Elections {

	private final ReplicaState state;

	private final Set<ReplicaId> votes = new TreeSet<>();

	private final Runnable won;

	private boolean handOver;

	/**
	 * Prepares elections.
	 * @param state the replica's state
	 * @param won run when this replica leads
	 */
	Elections(ReplicaState state, Runnable won) {
		this.state = state;
		this.won = won;
	}

	/** Asks for votes when the leader was not heard in time. */
	void tick() {
		if (!this.state.allows(RoleChange.ELECTION_TIMEOUT)) {
			return;
		}
		boolean alone = this.state.isVoter() && this.state.members.quorum() == 1;
		if (!alone && this.state.now - this.state.electionDeadline < 0) {
			return;
		}
		if (!this.state.isVoter()) {
			this.state.resetElectionDeadline();
			return;
		}
		if (alone && this.state.role == ReplicaRole.CANDIDATE) {
			return;
		}
		this.state.move(RoleChange.ELECTION_TIMEOUT);
		this.state.leader = Optional.empty();
		this.state.resetElectionDeadline();
		this.handOver = false;
		this.votes.clear();
		this.votes.add(this.state.self);
		askForVotes(true);
		countVotes();
	}

	/** Starts an election at once, since the leader said so. */
	void takeOver() {
		if (!this.state.isVoter() || !this.state.allows(RoleChange.TAKE_OVER)) {
			return;
		}
		this.state.move(RoleChange.TAKE_OVER);
		this.handOver = true;
		startElection();
	}

	private void startElection() {
		this.state.enterTerm(this.state.term() + 1);
		this.state.adopt(this.state.hard.toBuilder().setVote(this.state.self.text()).build());
		this.state.resetElectionDeadline();
		this.votes.clear();
		long term = this.state.term();
		this.state.outbox.whenDurable(() -> {
			if (this.state.term() == term && this.state.role == ReplicaRole.CANDIDATE) {
				this.votes.add(this.state.self);
				askForVotes(false);
				countVotes();
			}
		});
	}

	private void askForVotes(boolean preVote) {
		for (ReplicaMember member : this.state.membership().getVotersList()) {
			if (ReplicaId.of(member).equals(this.state.self)) {
				continue;
			}
			VoteRequest request = VoteRequest.newBuilder()
				.setPreVote(preVote)
				.setHandOver(this.handOver)
				.setAskedTerm(preVote ? this.state.term() + 1 : this.state.term())
				.setLastIndex(this.state.log.lastIndex())
				.setLastTerm(this.state.log.lastTerm())
				.build();
			this.state.send(member, this.state.message(member).setVoteRequest(request));
		}
	}

	private void countVotes() {
		long granted = this.state.members.voters().stream().filter(this.votes::contains).count();
		if (granted < this.state.members.quorum()) {
			return;
		}
		if (this.state.role == ReplicaRole.PRE_CANDIDATE) {
			this.state.move(RoleChange.PRE_VOTES_WON);
			startElection();
		}
		else if (this.state.role == ReplicaRole.CANDIDATE) {
			this.state.move(RoleChange.VOTES_WON);
			this.won.run();
		}
	}

	/**
	 * Whether a vote request has to be left unanswered, since this replica stands by a
	 * leader that may hold a lease.
	 * @param request the request
	 * @return whether to ignore it
	 */
	boolean standsByLeader(VoteRequest request) {
		if (request.getHandOver()) {
			return false;
		}
		long timeout = this.state.configuration.timings().electionTimeout().toNanos();
		return this.state.role.leading() || this.state.now - this.state.leaderHeard < timeout;
	}

	void answer(ReplicaMessage message) {
		VoteRequest request = message.getVoteRequest();
		boolean granted = isUpToDate(request) && (request.getPreVote() ? request.getAskedTerm() > this.state.term()
				: mayVoteFor(message.getFrom(), request.getAskedTerm()));
		if (granted && !request.getPreVote()) {
			this.state.adopt(this.state.hard.toBuilder().setVote(message.getFrom()).build());
			this.state.resetElectionDeadline();
		}
		ReplicaMember sender = this.state.senderOf(message);
		ReplicaMessage.Builder reply = this.state.message(sender)
			.setVoteReply(VoteReply.newBuilder()
				.setPreVote(request.getPreVote())
				.setGranted(granted)
				.setAskedTerm(request.getAskedTerm()));
		this.state.outbox.whenDurable(() -> this.state.send(sender, reply));
	}

	private boolean mayVoteFor(String candidate, long askedTerm) {
		String vote = this.state.hard.getVote();
		return askedTerm == this.state.term() && (vote.isEmpty() || vote.equals(candidate));
	}

	private boolean isUpToDate(VoteRequest request) {
		long lastTerm = this.state.log.lastTerm();
		if (request.getLastTerm() != lastTerm) {
			return request.getLastTerm() > lastTerm;
		}
		return request.getLastIndex() >= this.state.log.lastIndex();
	}

	void receive(ReplicaMessage message) {
		VoteReply reply = message.getVoteReply();
		boolean preVote = this.state.role == ReplicaRole.PRE_CANDIDATE;
		long asked = preVote ? this.state.term() + 1 : this.state.term();
		boolean expected = preVote || this.state.role == ReplicaRole.CANDIDATE;
		if (!expected || reply.getPreVote() != preVote || reply.getAskedTerm() != asked || !reply.getGranted()) {
			return;
		}
		this.votes.add(ReplicaId.parse(message.getFrom()));
		countVotes();
	}

}
