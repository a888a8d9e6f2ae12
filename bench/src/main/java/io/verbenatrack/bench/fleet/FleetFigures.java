package io.verbenatrack.bench.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.JobId;

/**
 * How the jobs of a load fared.
 */
public final class FleetFigures {

	/** Up to this many times its objective a job is late; later it earns nothing. */
	private static final int LATE_FACTOR = 3;

	/** What the users count for a second of a core that was thrown away. */
	private static final double LOSS_PRICE = 0.0017;

	private final Map<String, ClassFigures> classes = new TreeMap<>();

	private final List<String> violations;

	private final double wasted;

	private double earned;

	private double owed;

	private int jobs;

	private int served;

	FleetFigures(List<ArrivingJob> jobs, Map<JobId, Long> completed, double wasted, List<String> violations) {
		this.wasted = wasted;
		this.violations = List.copyOf(violations);
		Map<JobId, Long> ends = new HashMap<>(completed);
		jobs.forEach((job) -> add(job, ends.get(job.job())));
	}

	private void add(ArrivingJob job, Long endMillis) {
		long objective = job.objectiveMillis();
		long took = (endMillis != null) ? endMillis - job.atMillis() : Long.MAX_VALUE;
		boolean inTime = took <= objective;
		boolean late = !inTime && took <= LATE_FACTOR * objective;
		double lateCredit = job.credit() * job.jobClass().lateCredit() / job.jobClass().credit();
		double credit = inTime ? job.credit() : late ? lateCredit : 0;
		this.jobs++;
		this.served += (inTime || late) ? 1 : 0;
		this.owed += job.credit();
		this.earned += credit;
		this.classes.computeIfAbsent(job.jobClass().name(), (name) -> new ClassFigures())
			.add(inTime, late, credit, job.credit());
	}

	/**
	 * The part of what was owed that was earned.
	 * @return from 0 to 1
	 */
	public double earnedShare() {
		return this.earned / this.owed;
	}

	/**
	 * The part of what was owed that was earned, less the price of the work thrown away.
	 * @return up to 1
	 */
	public double netShare() {
		return (this.earned - LOSS_PRICE * this.wasted) / this.owed;
	}

	/**
	 * The part of the jobs that ended in time or late.
	 * @return from 0 to 1
	 */
	public double servedShare() {
		return (double) this.served / this.jobs;
	}

	/**
	 * The part of what a class was owed that it earned.
	 * @param name the class
	 * @return from 0 to 1
	 */
	public double earnedShare(String name) {
		ClassFigures figures = this.classes.get(name);
		return figures.earned / figures.owed;
	}

	/**
	 * What must hold and did not.
	 * @return a line for each case
	 */
	public List<String> violations() {
		return this.violations;
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
				"earned %.3f net %.3f served %.3f wasted %.0f", earnedShare(), netShare(), servedShare(), this.wasted));
		this.classes.forEach((name,
				figures) -> text.append(String.format(Locale.ROOT, " | %s %d: %d %d %d %.3f", name, figures.jobs,
						figures.inTime, figures.late, figures.jobs - figures.inTime - figures.late,
						figures.earned / figures.owed)));
		return text.toString();
	}

	private static final class ClassFigures {

		private int jobs;

		private int inTime;

		private int late;

		private double earned;

		private double owed;

		void add(boolean wasInTime, boolean wasLate, double credit, double wasOwed) {
			this.jobs++;
			this.inTime += wasInTime ? 1 : 0;
			this.late += wasLate ? 1 : 0;
			this.earned += credit;
			this.owed += wasOwed;
		}

	}

}
