package io.verbenatrack.server.leader;

import java.time.Duration;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.Slot;

/**
 * An action that a worker has to carry out on one member of a gang.
 *
 * @param job the job
 * @param token the fencing token of the member's lease
 * @param kind the kind of action
 * @param slot the accelerators of the member
 * @param runTime the remaining declared run time
 * @param grace how long the checkpoint may take, zero for all other actions
 */
public record MemberAction(JobId job, FencingToken token, Kind kind, Slot slot, Duration runTime, Duration grace) {

	/**
	 * The kinds of action.
	 */
	public enum Kind {

		/** Reserves the accelerators. */
		PREPARE,

		/** Starts the member. */
		START,

		/** Saves the progress of the member, which continues to run. */
		CHECKPOINT,

		/** Stops the member and frees the accelerators. */
		STOP

	}

}
