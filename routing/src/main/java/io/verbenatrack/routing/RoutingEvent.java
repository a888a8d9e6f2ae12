package io.verbenatrack.routing;

import java.util.List;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestSpec;

/**
 * What happened, as told to the {@link RequestRouter}.
 */
public sealed interface RoutingEvent {

	/**
	 * A caller sent a request.
	 *
	 * @param exchange names this send
	 * @param request what the caller asks
	 * @param body the digest of the body
	 * @param deadlineNanos when the caller stops waiting, on the monotonic clock, in
	 * nanoseconds
	 * @param replayable whether the body is held and can be sent again
	 * @param firstSend whether the caller states that it never sent this request before
	 */
	record Accepted(ExchangeId exchange, RequestSpec request, BodyDigest body, long deadlineNanos, boolean replayable,
			boolean firstSend) implements RoutingEvent {

	}

	/**
	 * The claim store answered.
	 *
	 * @param exchange the send
	 * @param result what became of the claim
	 */
	record ClaimSettled(ExchangeId exchange, ClaimResult result) implements RoutingEvent {

	}

	/**
	 * The release of a claim ended, well or not.
	 *
	 * @param exchange the send
	 */
	record ReleaseSettled(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * Keeping an answer ended, well or not.
	 *
	 * @param exchange the send
	 */
	record KeepSettled(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * A dispatch went on.
	 *
	 * @param attempt the dispatch
	 * @param step how far it came
	 */
	record AttemptAdvanced(AttemptId attempt, AttemptStep step) implements RoutingEvent {

	}

	/**
	 * A dispatch ended.
	 *
	 * @param attempt the dispatch
	 * @param result how
	 */
	record AttemptEnded(AttemptId attempt, AttemptResult result) implements RoutingEvent {

	}

	/**
	 * The caller hung up or cancelled.
	 *
	 * @param exchange the send
	 */
	record CallerGone(ExchangeId exchange) implements RoutingEvent {

	}

	/**
	 * The instances that share the targets changed.
	 *
	 * @param instances all of them that are up, this one included
	 */
	record InstancesChanged(List<InstanceId> instances) implements RoutingEvent {

		public InstancesChanged {
			instances = List.copyOf(instances);
		}

	}

	/**
	 * Another instance told how it uses the slots.
	 *
	 * @param use the use of one target
	 */
	record SlotUseHeard(SlotUse use) implements RoutingEvent {

	}

	/**
	 * A graceful shutdown stops new requests.
	 *
	 * @param hardDeadlineNanos when open requests are cut, on the monotonic clock, in
	 * nanoseconds
	 */
	record DrainBegan(long hardDeadlineNanos) implements RoutingEvent {

	}

	/**
	 * Time went on.
	 */
	record Ticked() implements RoutingEvent {

	}

}
