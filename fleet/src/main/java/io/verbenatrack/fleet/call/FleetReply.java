package io.verbenatrack.fleet.call;

import java.util.Optional;

import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;

/**
 * The reply to a {@link FleetCall}.
 */
public sealed interface FleetReply {

	/**
	 * The change is stored on a quorum.
	 */
	record Stored() implements FleetReply {

	}

	/**
	 * The phase of a job.
	 *
	 * @param phase the phase
	 */
	record Phase(JobPhase phase) implements FleetReply {

	}

	/**
	 * How many accepted jobs of a queue have not begun.
	 *
	 * @param jobs the number of jobs
	 */
	record Waiting(int jobs) implements FleetReply {

	}

	/**
	 * No queue has that host and path.
	 */
	record NoSuchQueue() implements FleetReply {

	}

	/**
	 * There is no such job.
	 */
	record NoSuchJob() implements FleetReply {

	}

	/**
	 * The key belongs to no client account.
	 */
	record UnknownKey() implements FleetReply {

	}

	/**
	 * The call can never succeed as it is.
	 *
	 * @param problem why, and what to do
	 */
	record Invalid(Problem problem) implements FleetReply {

	}

	/**
	 * Nothing was done and nothing will be.
	 *
	 * @param problem why, and what to do
	 * @param retryMillis when it makes sense to try again
	 */
	record Refused(Problem problem, long retryMillis) implements FleetReply {

	}

	/**
	 * What a worker is to do.
	 *
	 * @param orders the orders
	 */
	record Orders(HeartbeatResponse orders) implements FleetReply {

	}

	/**
	 * The newest configuration.
	 *
	 * @param document as its operator wrote it
	 */
	record Configuration(byte[] document) implements FleetReply {

	}

	/**
	 * The leader can be reached.
	 *
	 * @param limits the limits on calls, empty before the first configuration
	 */
	record Reached(Optional<CallLimits> limits) implements FleetReply {

	}

	/**
	 * This replica does not lead; nothing was done.
	 *
	 * @param leader who leads, if it is known
	 */
	record NotLeading(Optional<InstanceId> leader) implements FleetReply {

	}

	/**
	 * Nobody can say whether the call took effect.
	 */
	record OutcomeUnknown() implements FleetReply {

	}

}
