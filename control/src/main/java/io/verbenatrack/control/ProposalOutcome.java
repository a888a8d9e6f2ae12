package io.verbenatrack.control;

import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;

/**
 * The outcome of a proposal.
 */
public sealed interface ProposalOutcome {

	/**
	 * The command is durable on a quorum and was applied.
	 *
	 * @param index the log index of the command
	 * @param result what the state machine returned
	 */
	record Committed(long index, byte[] result) implements ProposalOutcome {

	}

	/**
	 * This replica is not the leader. The command was not appended to the log and never
	 * will be.
	 *
	 * @param leader the leader to retry with, if known
	 */
	record NotLeader(Optional<InstanceId> leader) implements ProposalOutcome {

	}

	/**
	 * The proposal was refused. The command was not appended to the log and never will
	 * be.
	 *
	 * @param problem the reason and the remedy
	 */
	record Refused(Problem problem) implements ProposalOutcome {

	}

	/**
	 * The command was appended to the log, but leadership was lost before it was
	 * committed. It may or may not take effect.
	 */
	record Unknown() implements ProposalOutcome {

	}

}
