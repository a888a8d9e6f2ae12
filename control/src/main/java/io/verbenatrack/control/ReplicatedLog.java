package io.verbenatrack.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.InstanceId;

/**
 * A log of commands that is replicated to a quorum.
 */
public interface ReplicatedLog extends AutoCloseable {

	/**
	 * Proposes a command through this replica. Dependent stages of the future run on the
	 * replica's threads unless they are added as asynchronous stages.
	 * @param command the command
	 * @return the outcome; the future never completes exceptionally
	 */
	CompletableFuture<ProposalOutcome> propose(byte[] command);

	/**
	 * Confirms that this replica is the leader and has applied every entry committed
	 * before the call.
	 * @return the term of its leadership, or empty if it is not the leader
	 */
	CompletableFuture<Optional<Long>> confirmLeadership();

	/**
	 * Returns the leader known to this replica.
	 * @return the leader, or empty if it is unknown
	 */
	Optional<InstanceId> leader();

	/**
	 * Returns whether this replica is the leader and its lease has not expired.
	 * @return whether it may act as leader now
	 */
	boolean leads();

	/**
	 * Returns the current term of this replica.
	 * @return the term, from 0
	 */
	long term();

	@Override
	void close();

}
