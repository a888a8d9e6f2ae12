package io.verbenatrack.routing;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;

/**
 * What became of a claim on a request that is not idempotent.
 */
public sealed interface ClaimResult {

	/**
	 * The claim is durable; the caller of the store, and nobody else, may dispatch.
	 */
	record Granted() implements ClaimResult {

	}

	/**
	 * An earlier claim holds and has no answer yet.
	 *
	 * @param holder the instance that holds the claim
	 * @param attempt the dispatch it claimed for
	 */
	record AlreadyRunning(InstanceId holder, AttemptId attempt) implements ClaimResult {

	}

	/**
	 * An earlier claim was answered.
	 *
	 * @param answer the answer that was kept
	 */
	record Kept(KeptAnswer answer) implements ClaimResult {

	}

	/**
	 * The request id was used before with another service or body.
	 */
	record DifferentRequest() implements ClaimResult {

	}

	/**
	 * Nothing was recorded, and nothing is known of earlier claims.
	 *
	 * @param problem why, with the remedy
	 */
	record Unavailable(Problem problem) implements ClaimResult {

	}

	/**
	 * The claim may or may not have been recorded.
	 *
	 * @param problem why, with the remedy
	 */
	record Unknown(Problem problem) implements ClaimResult {

	}

}
