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
	private static final int SUSPICIOUS_JOBS = 2;

	/** Longer than most workers stay bad; afterwards one more task is tried. */
	private static final long SUSPICION_NANOS = Duration.ofSeconds(6).toNanos();

	private final Map<TaskId, ReportedRun> running = new HashMap<>();

	private final Map<TaskId, Integer> unlisted = new HashMap<>();

	private final Set<JobId> failedJobs = new HashSet<>();

	private WorkerReport report;

	private long heardNanos;

	private long leaseEndNanos;

	private long suspectUntilNanos;

	private boolean left;

	TrackedWorker(WorkerReport report, long nowNanos, long leaseEndNanos) {
		this.report = report;
		this.leaseEndNanos = leaseEndNanos;
		this.suspectUntilNanos = nowNanos;
		take(report, nowNanos);
	}

	boolean update(WorkerReport newer, long nowNanos) {
		if (newer.sequence() <= this.report.sequence()) {
			return false;
		}
		take(newer, nowNanos);
		return true;
	}

	private void take(WorkerReport newer, long nowNanos) {
		this.report = newer;
		this.heardNanos = nowNanos;
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
	public WorkerIncarnation life() {
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
	int countUnlisted(TaskId task) {
		return this.unlisted.merge(task, 1, Integer::sum);
	}

	void listed(TaskId task) {
		this.unlisted.remove(task);
	}

	/**
	 * When it was heard last.
	 * @return nanoseconds of the monotonic clock
	 */
	public long heardNanos() {
		return this.heardNanos;
	}

	long silentNanos(long nowNanos) {
		return nowNanos - this.heardNanos;
	}

	long leaseEndNanos() {
		return this.leaseEndNanos;
	}

	void leaseUntil(long endNanos) {
		this.leaseEndNanos = Math.max(this.leaseEndNanos, endNanos);
	}

	// Its lease goes on: when our answer is lost, the worker runs on for seconds.
	void leave() {
		this.left = true;
	}

	boolean ended(JobId job, RunOutcome how, long nowNanos) {
		if (how == RunOutcome.DONE) {
			this.failedJobs.clear();
		}
		else if (how == RunOutcome.FAILED) {
			this.failedJobs.add(job);
			if (this.failedJobs.size() >= SUSPICIOUS_JOBS) {
				suspect(nowNanos);
				return true;
			}
		}
		return false;
	}

	void suspect(long nowNanos) {
		this.suspectUntilNanos = nowNanos + SUSPICION_NANOS;
	}

	boolean suspected(long nowNanos) {
		return nowNanos - this.suspectUntilNanos < 0;
	}

	boolean reachable(long nowNanos, Duration silence) {
		return silentNanos(nowNanos) <= silence.toNanos();
	}

	/**
	 * Whether it may be given new work.
	 * @param nowNanos the time
	 * @param silence the longest silence after which it still counts as reachable
	 * @return whether it is reachable, stays and has not failed job after job
	 */
	public boolean usable(long nowNanos, Duration silence) {
		return !this.left && !this.report.draining() && reachable(nowNanos, silence) && !suspected(nowNanos);
	}

}
