package io.verbenatrack.bench.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.JobId;

/**
 * Results of one run of a load pattern.
 */
public final class FleetResult {

	/** Jobs that take longer than this multiple of their objective earn no credit. */
	private static final int LATE_FACTOR = 3;

	/**
	 * Penalty, in credit per core second, for work that was lost. The users set this
	 * rate.
	 */
	private static final double LOSS_PENALTY = 0.0017;

	private final Map<String, ClassResult> classes = new TreeMap<>();

	private final ShareStatistics shares = new ShareStatistics();

	private final List<String> violations;

	private final RunStatistics runs;

	private final double lostCoreSeconds;

	private double earned;

	private double available;

	private int jobs;

	private int served;

	FleetResult(List<ArrivingJob> jobs, Map<JobId, Long> completed, double lostCoreSeconds, List<String> violations,
			RunStatistics runs) {
		this.runs = runs;
		this.lostCoreSeconds = lostCoreSeconds;
		this.violations = List.copyOf(violations);
		Map<JobId, Long> ends = new HashMap<>(completed);
		jobs.forEach((job) -> add(job, ends.get(job.job())));
	}

	private void add(ArrivingJob job, Long endMillis) {
		long objectiveMillis = job.objectiveMillis();
		long elapsedMillis = (endMillis != null) ? endMillis - job.atMillis() : Long.MAX_VALUE;
		boolean inTime = elapsedMillis <= objectiveMillis;
		boolean late = !inTime && elapsedMillis <= LATE_FACTOR * objectiveMillis;
		double lateCredit = job.credit() * job.jobClass().lateCredit() / job.jobClass().credit();
		double credit = inTime ? job.credit() : late ? lateCredit : 0;
		this.jobs++;
		this.shares.add(job, credit);
		this.served += (inTime || late) ? 1 : 0;
		this.available += job.credit();
		this.earned += credit;
		this.classes.computeIfAbsent(job.jobClass().name(), (name) -> new ClassResult())
			.add(inTime, late, credit, job.credit());
	}

	/**
	 * Returns the earned share of the available credit.
	 * @return from 0 to 1
	 */
	public double earnedShare() {
		return this.earned / this.available;
	}

	/**
	 * Returns the earned share of the available credit after the penalty for lost work.
	 * @return at most 1; negative if the penalty exceeds the earned credit
	 */
	public double netShare() {
		return (this.earned - LOSS_PENALTY * this.lostCoreSeconds) / this.available;
	}

	/**
	 * Returns the share of jobs that completed in time or late.
	 * @return from 0 to 1
	 */
	public double servedShare() {
		return (double) this.served / this.jobs;
	}

	/**
	 * Returns the earned share of the available credit of one job class.
	 * @param name the name of the job class
	 * @return from 0 to 1
	 */
	public double earnedShare(String name) {
		ClassResult classResult = this.classes.get(name);
		return classResult.earned / classResult.available;
	}

	/**
	 * Returns the invariants that were violated.
	 * @return one line for each violation
	 */
	public List<String> violations() {
		return this.violations;
	}

	double lostCoreSeconds() {
		return this.lostCoreSeconds;
	}

	RunStatistics runs() {
		return this.runs;
	}

	ShareStatistics shares() {
		return this.shares;
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(
				String.format(Locale.ROOT, "earned %.3f net %.3f served %.3f wasted %.0f", earnedShare(), netShare(),
						servedShare(), this.lostCoreSeconds));
		this.classes.forEach((name, classResult) -> text.append(String.format(Locale.ROOT, " | %s %d: %d %d %d %.3f",
				name, classResult.jobs, classResult.inTime, classResult.late,
				classResult.jobs - classResult.inTime - classResult.late, classResult.earned / classResult.available)));
		return text.toString();
	}

	private static final class ClassResult {

		private int jobs;

		private int inTime;

		private int late;

		private double earned;

		private double available;

		void add(boolean wasInTime, boolean wasLate, double credit, double availableCredit) {
			this.jobs++;
			this.inTime += wasInTime ? 1 : 0;
			this.late += wasLate ? 1 : 0;
			this.earned += credit;
			this.available += availableCredit;
		}

	}

}
