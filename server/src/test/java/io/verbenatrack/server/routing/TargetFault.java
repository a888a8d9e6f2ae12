package io.verbenatrack.server.routing;

/**
 * A fault that {@link FaultyTarget} injects into its answer to a request.
 */
enum TargetFault {

	NONE, RESET_BEFORE_BODY, RESET_AFTER_RUN, SILENT, SLOW, GARBAGE, CUT_SHORT, TOO_LONG, WRONG_DIGEST, CROSSED,
	DOUBLED, HALF_THEN_RESET, HALF_THEN_SILENT, NOT_BEGUN, ERROR_STATUS

}
