package io.verbenatrack.routing;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.TargetId;

/**
 * What the carriage has to do, in order.
 */
public sealed interface RoutingDecision {

	/**
	 * Claim a request and report {@link RoutingEvent.ClaimSettled}.
	 *
	 * @param exchange the send
	 * @param request the request
	 * @param body the digest of its body
	 * @param attempt the dispatch that the claim is for
	 */
	record Claim(ExchangeId exchange, RequestSpec request, BodyDigest body,
			AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Release a claim and report {@link RoutingEvent.ReleaseSettled}.
	 *
	 * @param exchange the send
	 * @param request the request
	 * @param attempt the dispatch that the claim was for
	 */
	record Release(ExchangeId exchange, RequestSpec request, AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Keep a checked answer and report {@link RoutingEvent.KeepSettled}.
	 *
	 * @param exchange the send
	 * @param request the request
	 * @param claimed the dispatch that the claim was for
	 * @param answered the dispatch that was answered
	 * @param target who answered
	 */
	record KeepAnswer(ExchangeId exchange, RequestSpec request, AttemptId claimed, AttemptId answered,
			TargetId target) implements RoutingDecision {

	}

	/**
	 * Send a request to a target and report its steps and its end.
	 *
	 * @param exchange the send
	 * @param attempt the dispatch
	 * @param target where to
	 * @param deadlineNanos when the caller stops waiting, on the monotonic clock, in
	 * nanoseconds
	 */
	record Dispatch(ExchangeId exchange, AttemptId attempt, TargetSpec target,
			long deadlineNanos) implements RoutingDecision {

	}

	/**
	 * Stop a dispatch and report its end, which tells whether a byte had left.
	 *
	 * @param attempt the dispatch
	 */
	record Cancel(AttemptId attempt) implements RoutingDecision {

	}

	/**
	 * Stream a large answer to the caller, all but its last part.
	 *
	 * @param exchange the send
	 * @param attempt the dispatch whose answer it is
	 * @param target who answers
	 */
	record Stream(ExchangeId exchange, AttemptId attempt, TargetId target) implements RoutingDecision {

	}

	/**
	 * Tell the caller the outcome; a streamed answer that was lost is aborted.
	 *
	 * @param exchange the send
	 * @param outcome the outcome
	 */
	record Tell(ExchangeId exchange, RequestOutcome<AnswerSource> outcome) implements RoutingDecision {

	}

	/**
	 * Tell the caller that the request itself is wrong.
	 *
	 * @param exchange the send
	 * @param problem what is wrong, with the remedy
	 */
	record Refuse(ExchangeId exchange, Problem problem) implements RoutingDecision {

	}

	/**
	 * Replace the idle connections to a target, one of which went silent.
	 *
	 * @param target the target
	 * @param url where it listens
	 */
	record DropConnections(TargetId target, String url) implements RoutingDecision {

	}

	/**
	 * Nothing is in flight any more after {@link RoutingEvent.DrainBegan}.
	 */
	record Drained() implements RoutingDecision {

	}

}
