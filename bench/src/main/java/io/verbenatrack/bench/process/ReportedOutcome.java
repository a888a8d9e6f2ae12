package io.verbenatrack.bench.process;

/**
 * Final outcome of one request as reported to its caller.
 *
 * @param id the request id
 * @param idempotent whether the request may run more than once
 * @param outcome one of {@link #ANSWERED}, {@link #NOT_RUN} and {@link #UNKNOWN}
 * @param body the body of the last response
 */
record ReportedOutcome(String id, boolean idempotent, String outcome, String body) {

	static final String ANSWERED = "answered";

	static final String NOT_RUN = "not-run";

	static final String UNKNOWN = "unknown";

}
