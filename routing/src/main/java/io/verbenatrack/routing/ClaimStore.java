package io.verbenatrack.routing;

import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.RequestSpec;

/**
 * Records which requests may have run, so that none runs twice.
 * <p>
 * A claim is named by client account and request id. Every future completes within the
 * timeout of the store, and none completes exceptionally. Methods never block.
 */
public interface ClaimStore {

	/**
	 * Claims a request before its dispatch. Claiming again after {@code AlreadyRunning}
	 * is how a resend waits for the answer.
	 * @param request the request
	 * @param body the digest of its body
	 * @param attempt the dispatch that the claim is for
	 * @return what became of the claim, once that is durable
	 */
	CompletableFuture<ClaimResult> claim(RequestSpec request, BodyDigest body, AttemptId attempt);

	/**
	 * Keeps the answer of a claimed request. A second answer changes nothing. The answer
	 * may name a later attempt than the claim, when the claimed one provably never began.
	 * @param request the request
	 * @param claimed the dispatch that the claim was for
	 * @param answer the answer
	 * @return whether the answer is durable
	 */
	CompletableFuture<Boolean> keepAnswer(RequestSpec request, AttemptId claimed, KeptAnswer answer);

	/**
	 * Gives a claim back, only when the dispatch provably never began. A claim of another
	 * attempt stays.
	 * @param request the request
	 * @param attempt the dispatch that the claim was for
	 * @return whether the release is durable
	 */
	CompletableFuture<Boolean> release(RequestSpec request, AttemptId attempt);

}
