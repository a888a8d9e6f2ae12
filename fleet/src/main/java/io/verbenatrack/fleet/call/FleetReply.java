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
	 * The change has been committed by a quorum.
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
	 * The number of accepted jobs of a queue that have not started.
	 *
	 * @param jobs the number of jobs
	 */
	record Waiting(int jobs) implements FleetReply {

	}

	/**
	 * No queue matches the host and path.
	 */
	record NoSuchQueue() implements FleetReply {

	}

	/**
	 * The job is unknown.
	 */
	record NoSuchJob() implements FleetReply {

	}

	/**
	 * The client account has cancelled the job before it arrived. It was not accepted and
	 * never runs.
	 */
	record JobCancelled() implements FleetReply {

	}

	/**
	 * No availability zone of that name is known, and the call changed nothing.
	 */
	record NoSuchZone() implements FleetReply {

	}

	/**
	 * The API key belongs to no client account.
	 */
	record UnknownKey() implements FleetReply {

	}

	/**
	 * The call is invalid and fails again when it is repeated unchanged.
	 *
	 * @param problem the reason and the remedy
	 */
	record Invalid(Problem problem) implements FleetReply {

	}

	/**
	 * The call was rejected without any effect.
	 *
	 * @param problem the reason and the remedy
	 * @param retryMillis the recommended delay before a retry, in milliseconds
	 */
	record Refused(Problem problem, long retryMillis) implements FleetReply {

	}

	/**
	 * The response to the heartbeat of a worker.
	 *
	 * @param orders the response
	 */
	record Orders(HeartbeatResponse orders) implements FleetReply {

	}

	/**
	 * The configuration in force.
	 *
	 * @param document the configuration as its operator wrote it
	 */
	record Configuration(byte[] document) implements FleetReply {

	}

	/**
	 * The leader is reachable.
	 *
	 * @param limits the limits on calls, empty before the first configuration
	 */
	record Reached(Optional<CallLimits> limits) implements FleetReply {

	}

	/**
	 * This replica is not the leader, and the call had no effect.
	 *
	 * @param leader the current leader, if known
	 */
	record NotLeading(Optional<InstanceId> leader) implements FleetReply {

	}

	/**
	 * Whether the call took effect is unknown.
	 */
	record OutcomeUnknown() implements FleetReply {

	}

}
