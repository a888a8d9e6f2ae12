package io.verbenatrack.scheduling.state;

import io.verbenatrack.scheduling.MemberReport;

/**
 * Maps member reports to events of the member chart.
 */
final class MemberEvents {

	private MemberEvents() {
	}

	/**
	 * Returns the event of the member chart for a report.
	 * @param report the report
	 * @return the event
	 */
	static String of(MemberReport report) {
		return switch (report) {
			case PREPARED -> "prepared";
			case STARTED -> "started";
			case FINISHED -> "finished";
			case FAILED -> "failed";
			case CHECKPOINTED -> "checkpointed";
			case STOPPED -> "stopped";
		};
	}

}
