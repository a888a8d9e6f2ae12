package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Optional;

import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Checks whether a worker can have sent a report now. A report with a start or a sequence
 * number that lies ahead would make the later reports of its worker outdated.
 */
public final class ReportCheck {

	/**
	 * The maximum difference between the wall clocks of a worker and the leader: several
	 * times what machines that set their clocks differ by.
	 */
	static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofMinutes(1);

	/** A fifth of the shortest interval between two reports of a worker. */
	private static final long MIN_REPORT_INTERVAL_MILLIS = 10;

	/** The maximum number of reports in a burst, such as repeats at other instances. */
	private static final long MAX_BURST_REPORTS = 50;

	private ReportCheck() {
	}

	/**
	 * Checks the start and the sequence number of a report.
	 * @param report the report
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return why no worker can have sent the report now, or empty if one can
	 */
	public static Optional<Problem> problem(WorkerReport report, long nowMillis) {
		long bornMillis = report.life().bornMillis();
		long latestBornMillis = nowMillis + MAX_CLOCK_DIFFERENCE.toMillis();
		if (bornMillis < 0 || bornMillis > latestBornMillis) {
			return invalid(report, "start " + bornMillis + " is not before " + latestBornMillis,
					"Send the milliseconds from 1970 to the start of the worker, and set its clock.");
		}
		if (report.sequence() < 0 || report.sequence() > maxReports(latestBornMillis - bornMillis)) {
			return invalid(report, "sequence number " + report.sequence() + " is above that of any worker of its age",
					"Count the reports of a worker from its start.");
		}
		return Optional.empty();
	}

	/**
	 * Returns how many reports a worker can send.
	 * @param millis a time in milliseconds
	 * @return the maximum number of reports within that time
	 */
	static long maxReports(long millis) {
		return MAX_BURST_REPORTS + Math.max(0, millis) / MIN_REPORT_INTERVAL_MILLIS;
	}

	private static Optional<Problem> invalid(WorkerReport report, String message, String remedy) {
		return Optional
			.of(new Problem(ProblemKind.INVALID, "worker " + report.life().worker() + ": " + message, remedy));
	}

}
