package io.verbenatrack.fleet.policy;

/**
 * Whether the leader follows a report.
 */
sealed interface ReportDecision {

	/**
	 * The report is followed.
	 *
	 * @param worker the worker, updated from the report
	 */
	record Followed(TrackedWorker worker) implements ReportDecision {

	}

	/**
	 * The report is not followed: its sender gets no lease and no instructions.
	 *
	 * @param reason the reason
	 */
	record Ignored(IgnoreReason reason) implements ReportDecision {

	}

}
