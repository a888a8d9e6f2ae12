package io.verbenatrack.cli;

import io.verbenatrack.model.Problem;

/**
 * What came of a call to the instances.
 */
sealed interface InstanceReply {

	/**
	 * An instance answered.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 */
	record Answered(int status, String body) implements InstanceReply {

	}

	/**
	 * No instance received the call.
	 *
	 * @param problem which instances were tried
	 */
	record Unreachable(Problem problem) implements InstanceReply {

	}

	/**
	 * An instance may have received the call, and no answer came.
	 *
	 * @param problem what is known, with the way to ask again
	 */
	record Lost(Problem problem) implements InstanceReply {

	}

}
