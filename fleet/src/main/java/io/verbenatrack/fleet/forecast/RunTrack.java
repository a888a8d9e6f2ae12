package io.verbenatrack.fleet.forecast;

import io.verbenatrack.fleet.model.TaskId;

/**
 * The progress of a run. All run times are logarithms of milliseconds on the worker where
 * it runs, unless they are said to be at speed 1.
 */
final class RunTrack {

	/** A pace over fewer percent says less than the speed of the worker. */
	private static final int MIN_PACED_PERCENT = 8;

	/** A pace over fewer percent says nothing. */
	private static final int MIN_PERCENT = 2;

	private static final double WHOLE_PERCENT = 100;

	/** Standard deviation of a difference of two whole percents, with some jitter. */
	private static final double PERCENT_ERROR = 0.7;

	/** Variance of the pace of a run that is not due to whole percents. */
	private static final double PACE_VARIANCE = 0.0025;

	/** Variance of the factor by which a worker changed its speed. */
	private static final double CHANGE_VARIANCE = 0.04;

	private static final double REMOTE_FACTOR = Math.log(3);

	/** A pace over fewer percent is no reference for a later one. */
	private static final int MIN_REFERENCE_PERCENT = 4;

	/** A run observed for a smaller share of its progress is no sample. */
	private static final double MIN_SAMPLE_PERCENT = 40;

	private static final double NANOS_PER_MILLI = 1e6;

	private final TaskId task;

	private final int run;

	private final StepTrack step;

	private final WorkerModel worker;

	private final boolean resumed;

	private final long sentNanos;

	private boolean seen;

	private boolean over;

	private long firstNanos;

	private long lastNanos;

	private int percent;

	private boolean anchored;

	private int anchorPercent;

	private long anchorNanos;

	/** Time since the anchor at the learned speed of the worker. */
	private double workNanos;

	private int sampleAnchorPercent;

	private boolean carried;

	private double carriedTotal;

	private double carriedVariance;

	private double mean;

	private double variance;

	/** The estimate since the last report, as many forecasts are made between reports. */
	private boolean estimated;

	private double estimatedMean;

	private double estimatedDeviation;

	/** Values at the start of the worker's window. */
	private long windowNanos;

	private int windowPercent;

	private double windowRate;

	RunTrack(TaskId task, int run, StepTrack step, WorkerModel worker, boolean resumed, long sentNanos) {
		this.task = task;
		this.run = run;
		this.step = step;
		this.worker = worker;
		this.resumed = resumed;
		this.sentNanos = sentNanos;
	}

	TaskId task() {
		return this.task;
	}

	int run() {
		return this.run;
	}

	StepTrack step() {
		return this.step;
	}

	WorkerModel worker() {
		return this.worker;
	}

	boolean over() {
		return this.over;
	}

	void markOver() {
		this.over = true;
	}

	int percent() {
		return this.percent;
	}

	boolean remote() {
		return this.step.gang() ? this.step.gangRemote() : this.step.isRemote(this.worker.rack());
	}

	/**
	 * Returns the speed at which the run goes on, which for the member of a gang is that
	 * of the slowest one.
	 * @return the logarithm of the speed
	 */
	double logSpeed() {
		return this.step.gang() ? this.step.slowest().logSpeed() : this.worker.logSpeed();
	}

	/**
	 * Records the progress that a report tells.
	 * @param newPercent the progress in percent
	 * @param nowNanos the time of the report
	 * @return whether the report is plausible
	 */
	boolean progress(int newPercent, long nowNanos) {
		this.estimated = false;
		if (newPercent < 0 || newPercent > WHOLE_PERCENT) {
			return false;
		}
		if (!this.seen) {
			this.seen = true;
			this.firstNanos = nowNanos;
			this.lastNanos = nowNanos;
			this.percent = newPercent;
			// A restored checkpoint and an incomplete gang stand still at first.
			if (newPercent > 0 && !this.resumed) {
				anchor(nowNanos);
			}
			return true;
		}
		if (newPercent < this.percent || nowNanos < this.lastNanos) {
			this.percent = newPercent;
			this.lastNanos = nowNanos;
			this.carried = false;
			anchor(nowNanos);
			return false;
		}
		boolean advanced = newPercent > this.percent;
		if (this.anchored) {
			this.workNanos += (nowNanos - this.lastNanos) * Math.exp(logSpeed());
		}
		this.percent = newPercent;
		this.lastNanos = nowNanos;
		if (!this.anchored && advanced) {
			anchor(nowNanos);
		}
		return true;
	}

	private void anchor(long nowNanos) {
		if (!this.anchored) {
			this.sampleAnchorPercent = this.percent;
		}
		this.anchored = true;
		this.anchorPercent = this.percent;
		this.anchorNanos = nowNanos;
		this.windowNanos = 0;
	}

	/**
	 * Forgets the pace, since the worker has changed its speed. What the pace told about
	 * the task remains.
	 * @param logSpeedBefore the speed at which the pace was observed
	 */
	void restartPace(double logSpeedBefore) {
		this.estimated = false;
		if (!this.anchored) {
			return;
		}
		estimateByPace();
		if (this.variance < Double.MAX_VALUE) {
			this.carried = true;
			this.carriedTotal = this.mean + logSpeedBefore;
			this.carriedVariance = this.variance + CHANGE_VARIANCE;
		}
		anchor(this.lastNanos);
	}

	/**
	 * Returns whether the progress tells a pace.
	 * @return whether the run has made enough progress
	 */
	boolean paced() {
		return this.anchored && this.percent - this.anchorPercent >= MIN_PACED_PERCENT;
	}

	boolean anchored() {
		return this.anchored;
	}

	/**
	 * Returns the run time that the pace tells.
	 * @return the logarithm of the milliseconds
	 */
	double logPace() {
		return Math.log(Math.max(1, this.lastNanos - this.anchorNanos) / NANOS_PER_MILLI * WHOLE_PERCENT
				/ (this.percent - this.anchorPercent));
	}

	double paceVariance() {
		double error = PERCENT_ERROR / (this.percent - this.anchorPercent);
		return error * error + PACE_VARIANCE;
	}

	/** Sets mean and variance to what the progress alone tells of the run time. */
	private void estimateByPace() {
		this.mean = 0;
		this.variance = Double.MAX_VALUE;
		if (this.carried) {
			this.mean = this.carriedTotal - logSpeed();
			this.variance = this.carriedVariance;
		}
		if (this.anchored && this.percent - this.anchorPercent >= MIN_PERCENT) {
			combine(logPace(), paceVariance());
		}
	}

	private void combine(double otherMean, double otherVariance) {
		double distance = this.mean - otherMean;
		// The more recent value counts where both contradict each other.
		double excess = Math.max(0, distance * distance - 4 * (this.variance + otherVariance));
		double precision = 1 / (this.variance + 4 * excess);
		double otherPrecision = 1 / otherVariance;
		this.mean = (this.mean * precision + otherMean * otherPrecision) / (precision + otherPrecision);
		this.variance = 1 / (precision + otherPrecision);
	}

	/**
	 * Estimates the run time from the step, the worker and the progress.
	 * @param quantiles the number of standard deviations above the median
	 * @return the logarithm of the milliseconds
	 */
	double estimate(double quantiles) {
		if (!this.estimated) {
			estimateTotal();
			this.estimated = true;
			this.estimatedMean = this.mean;
			this.estimatedDeviation = Math.sqrt(this.variance);
		}
		return this.estimatedMean + quantiles * this.estimatedDeviation;
	}

	/** Discards the estimate, after a change of the speeds or of the step. */
	void discardEstimate() {
		this.estimated = false;
	}

	private void estimateTotal() {
		estimateByPace();
		double paceMean = this.mean;
		double paceVariance = this.variance;
		this.mean = this.step.logTotal() - logSpeed() + (remote() ? REMOTE_FACTOR : 0);
		this.variance = this.step.logSpread() * this.step.logSpread();
		if (paceVariance < Double.MAX_VALUE) {
			combine(paceMean, paceVariance);
		}
	}

	/**
	 * Returns how long a run without a pace is known to take at least.
	 * @return the time since its first report in milliseconds, 0 when a pace is known or
	 * the run may not have begun
	 */
	double unpacedMillis() {
		boolean mayStandStill = !this.seen || this.step.gang() || this.resumed;
		boolean hasPace = this.carried || (this.anchored && this.percent - this.anchorPercent >= MIN_PERCENT);
		if (hasPace || (mayStandStill && !this.anchored)) {
			return 0;
		}
		return (this.lastNanos - (mayStandStill ? this.anchorNanos : this.firstNanos)) / NANOS_PER_MILLI;
	}

	void beginWindow(long nowNanos) {
		this.windowNanos = 0;
		boolean hasReference = this.carried || this.percent - this.anchorPercent >= MIN_REFERENCE_PERCENT;
		if (this.anchored && hasReference && !this.over) {
			estimateByPace();
			this.windowNanos = nowNanos;
			this.windowPercent = this.percent;
			this.windowRate = WHOLE_PERCENT / NANOS_PER_MILLI / Math.exp(this.mean);
		}
	}

	/**
	 * Returns the progress that was expected since the start of the worker's window.
	 * @param nowNanos the time
	 * @return the percent, 0 without a pace
	 */
	double expectedInWindow(long nowNanos) {
		return (this.windowNanos == 0) ? 0
				: Math.min(WHOLE_PERCENT - this.windowPercent, (nowNanos - this.windowNanos) * this.windowRate);
	}

	int gainedInWindow() {
		return this.percent - this.windowPercent;
	}

	/**
	 * Returns the run time of a run that is done.
	 * @param nowNanos the time at which its end is reported
	 * @return the milliseconds at the speed of the worker, or NaN if they are not known
	 */
	double observedMillis(long nowNanos) {
		return this.anchored ? fromAnchor(nowNanos - this.anchorNanos, this.anchorPercent) : fromStart(nowNanos);
	}

	/**
	 * Returns the run time of a run that is done, at speed 1.
	 * @param nowNanos the time at which its end is reported
	 * @return the milliseconds, or NaN if they are not known
	 */
	double observedWorkMillis(long nowNanos) {
		double speed = Math.exp(logSpeed());
		return this.anchored
				? fromAnchor(this.workNanos + (nowNanos - this.lastNanos) * speed, this.sampleAnchorPercent)
				: fromStart(nowNanos) * speed;
	}

	private static double fromAnchor(double nanos, int percent) {
		double left = WHOLE_PERCENT - percent;
		return (left < MIN_SAMPLE_PERCENT) ? Double.NaN : nanos / NANOS_PER_MILLI * WHOLE_PERCENT / left;
	}

	// A run that ended before its first report took at most the time since its start was
	// sent.
	private double fromStart(long nowNanos) {
		boolean whole = !this.seen && this.sentNanos != 0 && !this.step.gang() && !this.resumed;
		return whole ? (nowNanos - this.sentNanos) / NANOS_PER_MILLI : Double.NaN;
	}

}
