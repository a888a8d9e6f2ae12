package io.verbenatrack.server.leader;

import java.time.Duration;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.Slot;

/**
 * What a worker is told to do with one member of a gang.
 *
 * @param job the job
 * @param token the lease of the member
 * @param kind what to do
 * @param slot the accelerators of the member
 * @param runTime the declared run time that is left
 * @param grace how long saving progress may take
 */
public record MemberAction(JobId job, FencingToken token, Kind kind, Slot slot, Duration runTime, Duration grace) {

	/**
	 * The kinds of action.
	 */
	public enum Kind {

		/** Hold the accelerators. */
		PREPARE,

		/** Start to run. */
		START,

		/** Save progress and go on. */
		CHECKPOINT,

		/** Stop and free the accelerators. */
		STOP

	}

}
