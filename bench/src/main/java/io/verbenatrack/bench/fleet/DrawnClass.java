package io.verbenatrack.bench.fleet;

import java.util.List;
import java.util.Random;

/**
 * A class of jobs whose run times are drawn around a line: the logarithm of the run time
 * over the logarithm of the caller's estimate.
 *
 * @param queue the name of the queue
 * @param perSecond the number of jobs that arrive in a second
 * @param tasks the number of tasks of a job
 * @param gang whether the tasks form a gang
 * @param medianMillis the median run time
 * @param estimateSpread the standard deviation of the logarithm of the estimate
 * @param slope the slope of the line
 * @param spread the standard deviation of the run time of a job around the line
 * @param taskSpread the standard deviation of the run times of the tasks of a job
 */
record DrawnClass(String queue, double perSecond, int tasks, boolean gang, double medianMillis, double estimateSpread,
		double slope, double spread, double taskSpread) {

	/**
	 * The classes of the deployment with uneven workers. Slopes are the measured ones;
	 * the spreads give the measured errors together with the speeds of the workers.
	 * @return the classes
	 */
	static List<DrawnClass> floodWarning() {
		return List.of(new DrawnClass("urgent", 6.8, 5, true, 2100, 1.15, 0.42, 0.25, 0),
				new DrawnClass("wide", 1.3, 13, true, 7200, 0.58, 0, 0.25, 0),
				new DrawnClass("batch", 1.3, 39, false, 8100, 0.57, 0.63, 0.35, 0.2));
	}

	/**
	 * The classes of the deployment with uniform workers.
	 * @return the classes
	 */
	static List<DrawnClass> heatingGrid() {
		return List.of(new DrawnClass("urgent", 4, 5, true, 2500, 0.81, 0.64, 0.175, 0),
				new DrawnClass("wide", 1.5, 13, true, 6800, 1.13, 0.05, 0.24, 0),
				new DrawnClass("batch", 1.2, 39, false, 9500, 0.58, 0, 0.3, 0.2));
	}

	/**
	 * Classes whose callers estimate well.
	 * @return the classes
	 */
	static List<DrawnClass> goodEstimates() {
		return List.of(new DrawnClass("urgent", 4, 5, true, 2500, 0.8, 1, 0.05, 0),
				new DrawnClass("wide", 1.5, 13, true, 6800, 0.8, 1, 0.05, 0),
				new DrawnClass("batch", 1.2, 39, false, 9500, 0.8, 1, 0.05, 0.05));
	}

	DrawnClass withRate(double jobsPerSecond) {
		return new DrawnClass(this.queue, jobsPerSecond, this.tasks, this.gang, this.medianMillis, this.estimateSpread,
				this.slope, this.spread, this.taskSpread);
	}

	long estimate(Random random) {
		return Math.max(1, Math.round(this.medianMillis * Math.exp(this.estimateSpread * random.nextGaussian())));
	}

	double jobMillis(long estimate, Random random) {
		return this.medianMillis
				* Math.exp(this.slope * Math.log(estimate / this.medianMillis) + this.spread * random.nextGaussian());
	}

	double taskMillis(double jobMillis, Random random) {
		return jobMillis * Math.exp(this.taskSpread * random.nextGaussian());
	}

}
