package io.verbenatrack.routing;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.TargetId;

/**
 * An action that the transport must carry out, in the order of the decisions.
 */
public sealed interface RoutingDecision {

	/**
	 * Claims a request. The result is reported by {@link RoutingEvent.ClaimCompleted}.
	 *
	 * @param exchange the exchange
	 * @param request the request
	 * @param body the digest of its body
	 * @param attempt the dispatch that the claim is for
	 */
	record Claim(ExchangeId exchange, RequestSpec request, BodyDigest body,
			AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Releases a claim. The end is reported by {@link RoutingEvent.ReleaseCompleted}.
	 *
	 * @param exchange the exchange
	 * @param request the request
	 * @param attempt the dispatch that the claim was for
	 */
	record Release(ExchangeId exchange, RequestSpec request, AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Stores a verified answer. The end is reported by
	 * {@link RoutingEvent.KeepAnswerCompleted}.
	 *
	 * @param exchange the exchange
	 * @param request the request
	 * @param claimed the dispatch that the claim was for
	 * @param answered the dispatch that was answered
	 * @param target the target that answered
	 */
	record KeepAnswer(ExchangeId exchange, RequestSpec request, AttemptId claimed, AttemptId answered,
			TargetId target) implements RoutingDecision {

	}

	/**
	 * Sends a request to a target. Progress and end are reported by
	 * {@link RoutingEvent.AttemptAdvanced} and {@link RoutingEvent.AttemptEnded}.
	 *
	 * @param exchange the exchange
	 * @param attempt the dispatch
	 * @param target the target to send to
	 * @param deadlineNanos the deadline of the request on the monotonic clock in
	 * nanoseconds
	 */
	record Dispatch(ExchangeId exchange, AttemptId attempt, TargetSpec target,
			long deadlineNanos) implements RoutingDecision {

	}

	/**
	 * Cancels a dispatch. The result in {@link RoutingEvent.AttemptEnded} states whether
	 * any byte may have been sent.
	 *
	 * @param attempt the dispatch
	 */
	record Cancel(AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Streams a large answer to the caller, except for its last part, which is sent once
	 * the whole answer is verified.
	 *
	 * @param exchange the exchange
	 * @param attempt the dispatch that is being answered
	 * @param target the target that answers
	 */
	record Stream(ExchangeId exchange, AttemptId attempt, TargetId target) implements RoutingDecision {

	}

	/**
	 * Reports the outcome to the caller. A streamed answer that was lost is aborted.
	 *
	 * @param exchange the exchange
	 * @param outcome the outcome
	 */
	record Respond(ExchangeId exchange, RequestOutcome<AnswerSource> outcome) implements RoutingDecision {

	}

	/**
	 * Reports to the caller that the request is invalid.
	 *
	 * @param exchange the exchange
	 * @param problem the problem and its remedy
	 */
	record Refuse(ExchangeId exchange, Problem problem) implements RoutingDecision {

	}

	/**
	 * Closes the idle connections to a target, because one of its connections stopped
	 * responding.
	 *
	 * @param target the target
	 * @param url the base URL of the target
	 */
	record DropConnections(TargetId target, String url) implements RoutingDecision {

	}

	/**
	 * States that no exchange is open any more after {@link RoutingEvent.DrainBegan}, or
	 * that the remaining ones were aborted.
	 */
	record Drained() implements RoutingDecision {

	}

}
