package io.verbenatrack.cli;

import io.verbenatrack.model.Problem;

/**
 * The outcome of a call to the instances.
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
	 * @param problem the problem, which lists the instances that were tried
	 */
	record Unreachable(Problem problem) implements InstanceReply {

	}

	/**
	 * An instance may have received the call, but no answer arrived.
	 *
	 * @param problem the problem, with the way to retry
	 */
	record Lost(Problem problem) implements InstanceReply {

	}

}
