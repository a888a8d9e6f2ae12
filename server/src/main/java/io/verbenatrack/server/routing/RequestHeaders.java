package io.verbenatrack.server.routing;

/**
 * The names of the headers of requests and answers, which docs/API.md describes.
 */
final class RequestHeaders {

	static final String REQUEST_ID = "Verbenatrack-Request-Id";

	static final String ACCOUNT = "Verbenatrack-Account";

	static final String IDEMPOTENT = "Verbenatrack-Idempotent";

	static final String FIRST_SEND = "Verbenatrack-First-Send";

	static final String TIMEOUT_MS = "Verbenatrack-Timeout-Ms";

	static final String OUTCOME = "Verbenatrack-Outcome";

	static final String ATTEMPT = "Verbenatrack-Attempt";

	static final String TARGET = "Verbenatrack-Target";

	static final String DIGEST = "Verbenatrack-Digest";

	static final String NOT_BEGUN = "Verbenatrack-Not-Begun";

	static final String TRACE_PARENT = "traceparent";

	private RequestHeaders() {
	}

}
