package io.verbenatrack.routing;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;

/**
 * The result of a claim on a request that is not idempotent.
 */
public sealed interface ClaimResult {

	/**
	 * The claim is durable. Only the claimant may dispatch the request.
	 */
	record Granted() implements ClaimResult {

	}

	/**
	 * An earlier claim is in force and has no answer yet.
	 *
	 * @param holder the instance that holds the claim
	 * @param attempt the dispatch that the earlier claim is for
	 */
	record AlreadyRunning(InstanceId holder, AttemptId attempt) implements ClaimResult {

	}

	/**
	 * An earlier claim has an answer.
	 *
	 * @param answer the stored answer
	 */
	record Answered(KeptAnswer answer) implements ClaimResult {

	}

	/**
	 * The request id was already used for another service or body.
	 */
	record DifferentRequest() implements ClaimResult {

	}

	/**
	 * The claim was not recorded, and it is unknown whether earlier claims exist.
	 *
	 * @param problem the cause and the remedy
	 */
	record Unavailable(Problem problem) implements ClaimResult {

	}

	/**
	 * It is unknown whether the claim was recorded.
	 *
	 * @param problem the cause and the remedy
	 */
	record Unknown(Problem problem) implements ClaimResult {

	}

}
