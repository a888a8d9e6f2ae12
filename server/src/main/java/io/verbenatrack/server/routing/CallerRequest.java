package io.verbenatrack.server.routing;

import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.routing.BodyDigest;

/**
 * A request as its caller sent it.
 *
 * @param spec what the caller asks
 * @param deadlineNanos when it stops waiting, on the monotonic clock, in nanoseconds
 * @param firstSend whether the caller states that it never sent this request before
 * @param contentType the media type of the body, empty when there is none
 * @param traceParent the W3C trace context, empty when there is none
 * @param body the body, empty when it is streamed
 * @param digest the digest of the body
 * @param streamedBytes the length of a streamed body in bytes, 0 when it is held
 */
record CallerRequest(RequestSpec spec, long deadlineNanos, boolean firstSend, String contentType, String traceParent,
		byte[] body, BodyDigest digest, long streamedBytes) {

	boolean isStreamed() {
		return this.streamedBytes > 0;
	}

	CallerRequest withBody(byte[] held) {
		return new CallerRequest(this.spec, this.deadlineNanos, this.firstSend, this.contentType, this.traceParent,
				held, BodyDigest.of(held), 0);
	}

}
