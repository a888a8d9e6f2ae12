package io.verbenatrack.control;

import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;

/**
 * How a proposal ended.
 */
public sealed interface ProposalOutcome {

	/**
	 * A quorum holds it on disk and it was applied.
	 *
	 * @param index its place in the log
	 * @param result what the state machine returned
	 */
	record Committed(long index, byte[] result) implements ProposalOutcome {

	}

	/**
	 * It was not added to the log and never will be.
	 *
	 * @param leader who may take it, if known
	 */
	record NotLeader(Optional<InstanceId> leader) implements ProposalOutcome {

	}

	/**
	 * It was not added to the log and never will be.
	 *
	 * @param problem why, and what to do
	 */
	record Refused(Problem problem) implements ProposalOutcome {

	}

	/**
	 * It was added here, but leadership was lost before it was committed.
	 */
	record Unknown() implements ProposalOutcome {

	}

}
