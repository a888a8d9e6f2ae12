package io.verbenatrack.server.routing;

import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.routing.BodyDigest;

/**
 * The parsed request of a caller.
 *
 * @param spec the request
 * @param deadlineNanos the deadline of the caller on the monotonic clock, in nanoseconds
 * @param firstSend whether the caller states that it has not sent this request before
 * @param contentType the media type of the body, empty if there is none
 * @param traceParent the W3C trace context, empty if there is none
 * @param body the body, empty if it is streamed
 * @param digest the digest of the body, null if the caller sent none and the body has not
 * been read
 * @param streamedBytes the length of a streamed body in bytes, 0 if the body is buffered
 */
record CallerRequest(RequestSpec spec, long deadlineNanos, boolean firstSend, String contentType, String traceParent,
		byte[] body, BodyDigest digest, long streamedBytes) {

	boolean isStreamed() {
		return this.streamedBytes > 0;
	}

	CallerRequest withBody(byte[] bufferedBody) {
		return new CallerRequest(this.spec, this.deadlineNanos, this.firstSend, this.contentType, this.traceParent,
				bufferedBody, BodyDigest.of(bufferedBody), 0);
	}

}
