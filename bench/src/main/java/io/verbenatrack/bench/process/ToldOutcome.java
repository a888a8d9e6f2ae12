package io.verbenatrack.bench.process;

/**
 * What the caller of one request was told in the end.
 *
 * @param id the request
 * @param idempotent whether running it twice does no harm
 * @param outcome answered, not-run or unknown
 * @param body the body of the last answer
 */
record ToldOutcome(String id, boolean idempotent, String outcome, String body) {

	static final String ANSWERED = "answered";

	static final String NOT_RUN = "not-run";

	static final String UNKNOWN = "unknown";

}
