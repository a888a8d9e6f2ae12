package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.JobId;

/**
 * The state of an incarnation of a worker as tracked by the leader.
 */
public final class TrackedWorker {

	/** When this many jobs fail in a row, the worker rather than a job is suspected. */
	private static final int FAILED_JOBS_TO_SUSPECT = 2;

	/** Longer than most workers stay faulty; afterwards the worker is tried again. */
	private static final long SUSPICION_TIMEOUT_NANOS = Duration.ofSeconds(6).toNanos();

	/**
	 * More reports than the few that may be on their way when a worker signs off.
	 */
	private static final int REPORTS_AFTER_LATE_SIGN_OFF = 3;

	private final Map<TaskId, ReportedRun> running = new HashMap<>();

	private final Map<TaskId, Integer> missingReports = new HashMap<>();

	private final Set<JobId> failedJobs = new HashSet<>();

	/** Whether its first report was that of a new process. */
	private final boolean fresh;

	/** Whether it has carried out an instruction of this leader. */
	private boolean confirmed;

	private WorkerReport report;

	private long lastReportNanos;

	private long leaseEndNanos;

	private long suspectUntilNanos;

	private boolean left;

	private int reportsSinceLeft;

	private boolean displaced;

	private long highestListedEnd;

	TrackedWorker(WorkerReport report, boolean fresh, long nowNanos, long leaseEndNanos) {
		this.report = report;
		this.fresh = fresh;
		this.leaseEndNanos = leaseEndNanos;
		this.suspectUntilNanos = nowNanos;
		accept(report, nowNanos);
	}

	boolean update(WorkerReport newer, long nowNanos) {
		long advance = newer.sequence() - this.report.sequence();
		if (advance <= 0 || advance > ReportCheck.maxReports(Duration.ofNanos(silentNanos(nowNanos)).toMillis())) {
			return false;
		}
		accept(newer, nowNanos);
		return true;
	}

	private void accept(WorkerReport newer, long nowNanos) {
		this.displaced = false;
		this.reportsSinceLeft = newer.draining() ? 0 : this.reportsSinceLeft + 1;
		this.report = newer;
		this.lastReportNanos = nowNanos;
		this.running.clear();
		newer.running().forEach((run) -> this.running.put(run.task(), run));
	}

	/**
	 * Returns the latest report of the worker.
	 * @return the report
	 */
	public WorkerReport report() {
		return this.report;
	}

	/**
	 * Returns the incarnation of the worker.
	 * @return the incarnation
	 */
	public WorkerIncarnation incarnation() {
		return this.report.life();
	}

	// Ends are listed again until their acknowledgement arrives.
	boolean listsFirst(ReportedEnd end) {
		return end.number() > this.highestListedEnd;
	}

	void recordListed(WorkerReport listing) {
		listing.ended().forEach((end) -> this.highestListedEnd = Math.max(this.highestListedEnd, end.number()));
	}

	/**
	 * Records that the worker has carried out an instruction of this leader, which only a
	 * process that runs now can do.
	 */
	void confirm() {
		this.confirmed = true;
	}

	/**
	 * Returns whether the worker is a new process, so that the one whose place it took
	 * has ended. A report alone may be a late one, or that of another writer.
	 * @return whether the process whose place it took has certainly ended
	 */
	boolean successor() {
		return this.fresh && this.confirmed;
	}

	/**
	 * Returns whether the latest report lists a run as running.
	 * @param task the task
	 * @param run the run number
	 * @return whether the run is in progress on the worker
	 */
	public boolean reportsRunning(TaskId task, int run) {
		ReportedRun reported = this.running.get(task);
		return reported != null && reported.run() == run;
	}

	/**
	 * Returns the checkpoint of a run in the latest report.
	 * @param task the task
	 * @param run the run number
	 * @return the checkpoint, empty for none
	 */
	public String checkpoint(TaskId task, int run) {
		return reportsRunning(task, run) ? this.running.get(task).checkpoint() : "";
	}

	/**
	 * Returns the progress of the run of a task.
	 * @param task the task
	 * @return the progress in percent, 0 to 100
	 */
	public int percent(TaskId task) {
		ReportedRun reported = this.running.get(task);
		return (reported != null) ? reported.percent() : 0;
	}

	/**
	 * Increments the number of consecutive reports that lack a run.
	 * @param task the task
	 * @return the number of reports, at least 1
	 */
	int incrementMissing(TaskId task) {
		return this.missingReports.merge(task, 1, Integer::sum);
	}

	void clearMissing(TaskId task) {
		this.missingReports.remove(task);
	}

	/**
	 * Returns when the latest report arrived.
	 * @return the time in nanoseconds of the monotonic clock
	 */
	public long lastReportNanos() {
		return this.lastReportNanos;
	}

	long silentNanos(long nowNanos) {
		return nowNanos - this.lastReportNanos;
	}

	long leaseEndNanos() {
		return this.leaseEndNanos;
	}

	void extendLeaseTo(long endNanos) {
		this.leaseEndNanos = Math.max(this.leaseEndNanos, endNanos);
	}

	// The lease continues: if the response is lost, the worker keeps running for seconds.
	void markLeft() {
		this.left = true;
		this.reportsSinceLeft = 0;
	}

	// A worker that goes on reporting has not left: the sign-off was a late one of its
	// previous incarnation.
	private boolean gone() {
		return this.left && this.reportsSinceLeft < REPORTS_AFTER_LATE_SIGN_OFF;
	}

	// A later report that is followed again undoes this.
	void markDisplaced() {
		this.displaced = true;
	}

	boolean recordEnd(JobId job, RunOutcome how, long nowNanos) {
		if (how == RunOutcome.DONE) {
			this.failedJobs.clear();
		}
		else if (how == RunOutcome.FAILED && !suspected(nowNanos)) {
			this.failedJobs.add(job);
			if (this.failedJobs.size() >= FAILED_JOBS_TO_SUSPECT) {
				this.failedJobs.clear();
				suspect(nowNanos);
				return true;
			}
		}
		return false;
	}

	void suspect(long nowNanos) {
		this.suspectUntilNanos = nowNanos + SUSPICION_TIMEOUT_NANOS;
	}

	boolean suspected(long nowNanos) {
		return nowNanos - this.suspectUntilNanos < 0;
	}

	boolean reachable(long nowNanos, Duration silenceTimeout) {
		return silentNanos(nowNanos) <= silenceTimeout.toNanos();
	}

	/**
	 * Returns whether the worker may get new tasks.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @param silenceTimeout the maximum silence of a reachable worker
	 * @return whether the worker is reachable, not leaving, not suspected and not
	 * displaced by another one at its address
	 */
	public boolean schedulable(long nowNanos, Duration silenceTimeout) {
		return !gone() && !this.displaced && !this.report.draining() && reachable(nowNanos, silenceTimeout)
				&& !suspected(nowNanos);
	}

}
