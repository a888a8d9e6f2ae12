package io.verbenatrack.routing;

import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.RequestSpec;

/**
 * Records which requests may have run, so that no request runs twice.
 * <p>
 * A claim is identified by client account and request id. Every future completes within
 * the timeout of the store, and none completes exceptionally. Methods do not block.
 */
public interface ClaimStore {

	/**
	 * Claims a request before its dispatch. A resend that gets {@code AlreadyRunning}
	 * waits for the answer by claiming again.
	 * @param request the request
	 * @param body the digest of its body
	 * @param attempt the dispatch that the claim is for
	 * @return the result of the claim, once it is durable
	 */
	CompletableFuture<ClaimResult> claim(RequestSpec request, BodyDigest body, AttemptId attempt);

	/**
	 * Stores the answer to a claimed request. Further answers are ignored. The answer may
	 * be that of a later attempt than the claimed one, when the claimed attempt is known
	 * never to have started.
	 * @param request the request
	 * @param claimed the dispatch that the claim was for
	 * @param answer the answer
	 * @return whether the answer is durable
	 */
	CompletableFuture<Boolean> keepAnswer(RequestSpec request, AttemptId claimed, KeptAnswer answer);

	/**
	 * Releases a claim. Must be called only when the dispatch is known never to have
	 * started. A claim of another attempt is not released.
	 * @param request the request
	 * @param attempt the dispatch that the claim was for
	 * @return whether the release is durable
	 */
	CompletableFuture<Boolean> release(RequestSpec request, AttemptId attempt);

}
