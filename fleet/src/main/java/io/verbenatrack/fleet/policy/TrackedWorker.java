package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.JobId;

/**
 * What the leader knows of one life of a worker.
 */
public final class TrackedWorker {

	/** Two jobs failing in a row point at the worker rather than at the jobs. */
	private static final int FAILED_JOBS_TO_SUSPECT = 2;

	/** Longer than most workers stay bad; afterwards one more task is tried. */
	private static final long SUSPICION_TIMEOUT_NANOS = Duration.ofSeconds(6).toNanos();

	private final Map<TaskId, ReportedRun> running = new HashMap<>();

	private final Map<TaskId, Integer> missingReports = new HashMap<>();

	private final Set<JobId> failedJobs = new HashSet<>();

	private WorkerReport report;

	private long lastReportNanos;

	private long leaseEndNanos;

	private long suspectUntilNanos;

	private boolean left;

	TrackedWorker(WorkerReport report, long nowNanos, long leaseEndNanos) {
		this.report = report;
		this.leaseEndNanos = leaseEndNanos;
		this.suspectUntilNanos = nowNanos;
		accept(report, nowNanos);
	}

	boolean update(WorkerReport newer, long nowNanos) {
		if (newer.sequence() <= this.report.sequence()) {
			return false;
		}
		accept(newer, nowNanos);
		return true;
	}

	private void accept(WorkerReport newer, long nowNanos) {
		this.report = newer;
		this.lastReportNanos = nowNanos;
		this.running.clear();
		newer.running().forEach((run) -> this.running.put(run.task(), run));
	}

	/**
	 * Its newest report.
	 * @return the report
	 */
	public WorkerReport report() {
		return this.report;
	}

	/**
	 * Which life of which worker this is.
	 * @return the life
	 */
	public WorkerIncarnation incarnation() {
		return this.report.life();
	}

	/**
	 * Whether the newest report lists a run.
	 * @param task the task
	 * @param run the number of the run
	 * @return whether it is under way there
	 */
	public boolean reportsRunning(TaskId task, int run) {
		ReportedRun reported = this.running.get(task);
		return reported != null && reported.run() == run;
	}

	/**
	 * The newest checkpoint that was reported of a run.
	 * @param task the task
	 * @param run the number of the run
	 * @return the checkpoint, empty for none
	 */
	public String checkpoint(TaskId task, int run) {
		return reportsRunning(task, run) ? this.running.get(task).checkpoint() : "";
	}

	/**
	 * How far a run is.
	 * @param task the task
	 * @return the part done, 0 to 100
	 */
	public int percent(TaskId task) {
		ReportedRun reported = this.running.get(task);
		return (reported != null) ? reported.percent() : 0;
	}

	/**
	 * Counts in how many reports in a row a run was missing.
	 * @param task the task
	 * @return the number of reports, from 1
	 */
	int incrementMissing(TaskId task) {
		return this.missingReports.merge(task, 1, Integer::sum);
	}

	void clearMissing(TaskId task) {
		this.missingReports.remove(task);
	}

	/**
	 * When it was heard last.
	 * @return nanoseconds of the monotonic clock
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

	// Its lease goes on: when our answer is lost, the worker runs on for seconds.
	void markLeft() {
		this.left = true;
	}

	boolean recordEnd(JobId job, RunOutcome how, long nowNanos) {
		if (how == RunOutcome.DONE) {
			this.failedJobs.clear();
		}
		else if (how == RunOutcome.FAILED) {
			this.failedJobs.add(job);
			if (this.failedJobs.size() >= FAILED_JOBS_TO_SUSPECT) {
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
	 * Whether it may be given new work.
	 * @param nowNanos the time
	 * @param silenceTimeout the longest silence after which it still counts as reachable
	 * @return whether it is reachable, stays and has not failed job after job
	 */
	public boolean schedulable(long nowNanos, Duration silenceTimeout) {
		return !this.left && !this.report.draining() && reachable(nowNanos, silenceTimeout) && !suspected(nowNanos);
	}

}
