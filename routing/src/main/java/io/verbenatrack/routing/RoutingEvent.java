package io.verbenatrack.routing;

import java.util.List;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestSpec;

/**
 * An event that the {@link RequestRouter} processes.
 */
public sealed interface RoutingEvent {

	/**
	 * A caller sent a request.
	 *
	 * @param exchange the id of this send
	 * @param request the request
	 * @param body the digest of the request body
	 * @param deadlineNanos the deadline of the request on the monotonic clock in
	 * nanoseconds
	 * @param replayable whether the body is buffered and can be sent again
	 * @param firstSend whether the caller states that it never sent this request before
	 */
	record Accepted(ExchangeId exchange, RequestSpec request, BodyDigest body, long deadlineNanos, boolean replayable,
			boolean firstSend) implements RoutingEvent {

	}

	/**
	 * The claim store replied to a claim.
	 *
	 * @param exchange the exchange that made the claim
	 * @param result the result of the claim
	 */
	record ClaimCompleted(ExchangeId exchange, ClaimResult result) implements RoutingEvent {

	}

	/**
	 * The release of a claim ended, successfully or not.
	 *
	 * @param exchange the exchange
	 */
	record ReleaseCompleted(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * The storing of an answer ended, successfully or not.
	 *
	 * @param exchange the exchange
	 */
	record KeepAnswerCompleted(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * A dispatch made progress.
	 *
	 * @param attempt the dispatch
	 * @param step the step that the dispatch reached
	 */
	record AttemptAdvanced(AttemptId attempt, AttemptStep step) implements RoutingEvent {

	}

	/**
	 * A dispatch ended.
	 *
	 * @param attempt the dispatch
	 * @param result the result of the dispatch
	 */
	record AttemptEnded(AttemptId attempt, AttemptResult result) implements RoutingEvent {

	}

	/**
	 * The caller disconnected or cancelled the request.
	 *
	 * @param exchange the exchange
	 */
	record CallerGone(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * The set of instances that share the targets changed.
	 *
	 * @param instances all live instances, including this one
	 */
	record InstancesChanged(List<InstanceId> instances) implements RoutingEvent {

		public InstancesChanged {
			instances = List.copyOf(instances);
		}

	}

	/**
	 * A slot use report of another instance arrived.
	 *
	 * @param use the report on one target
	 */
	record SlotUseReceived(SlotUse use) implements RoutingEvent {

	}

	/**
	 * A graceful shutdown began. New requests are refused.
	 *
	 * @param hardDeadlineNanos when open requests are aborted, on the monotonic clock in
	 * nanoseconds
	 */
	record DrainBegan(long hardDeadlineNanos) implements RoutingEvent {

	}

	/**
	 * Time advanced, with no other event; due timers are processed.
	 */
	record Ticked() implements RoutingEvent {

	}

}
