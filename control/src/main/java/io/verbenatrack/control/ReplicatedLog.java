package io.verbenatrack.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.InstanceId;

/**
 * A log of commands that a quorum of replicas holds on disk.
 */
public interface ReplicatedLog extends AutoCloseable {

	/**
	 * Proposes a command on this replica. What depends on the future runs on the
	 * replica's threads unless it is started asynchronously.
	 * @param command the command
	 * @return how it ended; never completes exceptionally
	 */
	CompletableFuture<ProposalOutcome> propose(byte[] command);

	/**
	 * Confirms that this replica leads and has applied everything committed before the
	 * call.
	 * @return the term in which it leads, or empty when it does not lead
	 */
	CompletableFuture<Optional<Long>> confirmLeadership();

	/**
	 * Who leads, as far as this replica knows.
	 * @return the leader, if it is known
	 */
	Optional<InstanceId> leader();

	/**
	 * Whether this replica leads under a lease that has not run out.
	 * @return whether it may decide now
	 */
	boolean leads();

	/**
	 * The term that this replica is in.
	 * @return the term, from 0
	 */
	long term();

	@Override
	void close();

}
