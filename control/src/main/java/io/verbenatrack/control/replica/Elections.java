package io.verbenatrack.control.replica;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.VoteReply;
import io.verbenatrack.protocol.control.VoteRequest;

/**
 * Elects a leader by the Raft algorithm with pre-vote. Voters ignore vote requests within
 * the election timeout after contact with a leader (Ongaro, 2014, sections 3.4, 4.2.3 and
 * 9.6).
 */
final class Elections {

	private final ReplicaState state;

	private final Set<ReplicaId> votes = new TreeSet<>();

	private final Runnable onElected;

	private boolean handOver;

	/**
	 * Creates the election logic of a replica.
	 * @param state the replica's state
	 * @param onElected called when this replica becomes the leader
	 */
	Elections(ReplicaState state, Runnable onElected) {
		this.state = state;
		this.onElected = onElected;
	}

	/**
	 * Starts a pre-vote if the election timeout has passed without contact with a leader.
	 */
	void tick() {
		if (!this.state.canTransition(RoleChange.ELECTION_TIMEOUT)) {
			return;
		}
		boolean soleVoter = this.state.isVoter() && this.state.memberships.quorum() == 1;
		if (!soleVoter && this.state.grantedNow.isBefore(this.state.electionDeadline)) {
			return;
		}
		if (!this.state.isVoter()) {
			this.state.resetElectionDeadline();
			return;
		}
		if (soleVoter && this.state.role == ReplicaRole.CANDIDATE) {
			return;
		}
		this.state.transition(RoleChange.ELECTION_TIMEOUT);
		this.state.leader = Optional.empty();
		this.state.resetElectionDeadline();
		this.handOver = false;
		this.votes.clear();
		this.votes.add(this.state.self);
		requestVotes(true);
		countVotes();
	}

	/** Starts an election without a pre-vote at the request of the leader. */
	void takeOver() {
		if (!this.state.isVoter() || !this.state.canTransition(RoleChange.TAKE_OVER)) {
			return;
		}
		this.state.transition(RoleChange.TAKE_OVER);
		this.handOver = true;
		startElection();
	}

	private void startElection() {
		this.state.enterTerm(this.state.term() + 1);
		this.state.persistHardState(this.state.hardState.toBuilder().setVote(this.state.self.text()).build());
		this.state.resetElectionDeadline();
		this.votes.clear();
		long term = this.state.term();
		this.state.effects.runWhenDurable(() -> {
			if (this.state.term() == term && this.state.role == ReplicaRole.CANDIDATE) {
				this.votes.add(this.state.self);
				requestVotes(false);
				countVotes();
			}
		});
	}

	private void requestVotes(boolean preVote) {
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
		long granted = this.state.memberships.voters().stream().filter(this.votes::contains).count();
		if (granted < this.state.memberships.quorum()) {
			return;
		}
		if (this.state.role == ReplicaRole.PRE_CANDIDATE) {
			this.state.transition(RoleChange.PRE_VOTES_WON);
			startElection();
		}
		else if (this.state.role == ReplicaRole.CANDIDATE) {
			this.state.transition(RoleChange.VOTES_WON);
			this.onElected.run();
		}
	}

	/**
	 * Returns whether a vote request must be ignored because a leader may still hold a
	 * lease that depends on this replica.
	 * @param request the request
	 * @return whether to ignore it
	 */
	boolean mustIgnore(VoteRequest request) {
		if (request.getHandOver()) {
			return false;
		}
		GrantedTime promiseEnd = this.state.lastLeaderContact
			.plus(this.state.configuration.timings().electionTimeout());
		return this.state.role.leading() || this.state.grantedNow.isBefore(promiseEnd);
	}

	void handleRequest(ReplicaMessage message) {
		VoteRequest request = message.getVoteRequest();
		boolean granted = isUpToDate(request) && (request.getPreVote() ? request.getAskedTerm() > this.state.term()
				: canVoteFor(message.getFrom(), request.getAskedTerm()));
		if (granted && !request.getPreVote()) {
			this.state.persistHardState(this.state.hardState.toBuilder().setVote(message.getFrom()).build());
			this.state.resetElectionDeadline();
		}
		ReplicaMember sender = this.state.senderOf(message);
		ReplicaMessage.Builder reply = this.state.message(sender)
			.setVoteReply(VoteReply.newBuilder()
				.setPreVote(request.getPreVote())
				.setGranted(granted)
				.setAskedTerm(request.getAskedTerm()));
		this.state.effects.runWhenDurable(() -> this.state.send(sender, reply));
	}

	private boolean canVoteFor(String candidate, long askedTerm) {
		String vote = this.state.hardState.getVote();
		return askedTerm == this.state.term() && (vote.isEmpty() || vote.equals(candidate));
	}

	private boolean isUpToDate(VoteRequest request) {
		long lastTerm = this.state.log.lastTerm();
		if (request.getLastTerm() != lastTerm) {
			return request.getLastTerm() > lastTerm;
		}
		return request.getLastIndex() >= this.state.log.lastIndex();
	}

	void handleReply(ReplicaMessage message) {
		VoteReply reply = message.getVoteReply();
		boolean preVote = this.state.role == ReplicaRole.PRE_CANDIDATE;
		long expectedTerm = preVote ? this.state.term() + 1 : this.state.term();
		boolean expected = preVote || this.state.role == ReplicaRole.CANDIDATE;
		if (!expected || reply.getPreVote() != preVote || reply.getAskedTerm() != expectedTerm || !reply.getGranted()) {
			return;
		}
		this.votes.add(ReplicaId.parse(message.getFrom()));
		countVotes();
	}

}
