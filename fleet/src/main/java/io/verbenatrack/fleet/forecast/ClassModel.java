package io.verbenatrack.fleet.forecast;

import java.util.Optional;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.model.AccountId;

/**
 * The run times of a class: a regression of the logarithm of the run time at speed 1 on
 * the logarithm of the caller's estimate, with exponential forgetting. With few samples
 * it shrinks towards a prior, which is the model of the queue or the caller's estimate.
 */
final class ClassModel {

	/** Weight of the samples that are remembered; a change counts half after 25. */
	private static final double MEMORY = 40;

	/** Weight of the samples on which the errors are compared. */
	private static final double ERROR_MEMORY = 20;

	/** Weight of the samples on whose signed errors a change of behaviour is noticed. */
	private static final double CHANGE_MEMORY = 5;

	/**
	 * A mean signed error of so many mean absolute errors over {@link #CHANGE_MEMORY}
	 * samples is 3.6 standard deviations off, and so no coincidence.
	 */
	private static final double CHANGE_THRESHOLD = 1.5;

	/** Share of the weight of earlier samples that remains after a change. */
	private static final double KEPT_AFTER_CHANGE = 0.15;

	/** Samples that the prior counts for: those of an estimate that is 0.5 off. */
	private static final double PRIOR_WEIGHT = 2;

	/** Variance of a sample over that of a slope, which shrinks the slope. */
	private static final double SLOPE_PRIOR = 0.5;

	/** Beyond so many standard deviations an estimate counts in full. */
	private static final double MAX_DEVIATIONS = 2.5;

	private static final double MIN_SPREAD = 0.1;

	/** Weight up to which runs in progress complement those that have ended. */
	private static final double MAX_OPEN_WEIGHT = 10;

	/** Weight of the samples from which on learned values may be used. */
	private static final double MIN_USED_WEIGHT = 4;

	/** Learned values come into use if their error is below this share. */
	private static final double USE_SHARE = 0.9;

	/** A smaller advantage is not worth a change, and may be chance. */
	private static final double USE_ADVANTAGE = 0.03;

	/** A residual counts for the regression up to so many mean absolute errors. */
	private static final double MAX_RESIDUAL = 4;

	private static final double MIN_ERROR = 0.1;

	private static final double TAIL_STEP = 0.15;

	/** Bounds of the ratio of the 0.9 quantile to the mean absolute error. */
	private static final double MIN_TAIL_RATIO = 1;

	private static final double MAX_TAIL_RATIO = 4;

	private static final double TAIL_SHARE = 0.9;

	/** A lognormal 0.9 quantile lies so many mean absolute deviations off. */
	private static final double TAIL_PER_ERROR = 1.6;

	private static final double SCALE = 10_000;

	/** Larger than the logarithm of seven days in milliseconds. */
	private static final double MAX_LOG = 25;

	private final String queue;

	private final Optional<AccountId> account;

	private double weight;

	private double sumX;

	private double sumY;

	private double sumXx;

	private double sumXy;

	/** The samples of runs in progress, which are counted anew at each sweep. */
	private double openWeight;

	private double openX;

	private double openY;

	private double openXx;

	private double openXy;

	private double errorWeight;

	private double callerError;

	private double learnedError;

	private double signedError;

	private double callerTail;

	private double learnedTail;

	private boolean used;

	ClassModel(String queue, Optional<AccountId> account) {
		this.queue = queue;
		this.account = account;
	}

	/**
	 * Continues from a recorded summary.
	 * @param summary the summary
	 */
	void restore(ClassRunTimes summary) {
		this.weight = Math.clamp(summary.weight() / SCALE, 0, MEMORY);
		double x = Math.clamp(summary.estimate() / SCALE, 0, MAX_LOG);
		double y = Math.clamp(summary.time() / SCALE, 0, MAX_LOG);
		this.sumX = this.weight * x;
		this.sumY = this.weight * y;
		this.sumXx = this.weight * (Math.max(0, summary.variance() / SCALE) + x * x);
		this.sumXy = this.weight * (summary.covariance() / SCALE + x * y);
		this.errorWeight = Math.min(this.weight, ERROR_MEMORY);
		this.callerError = Math.max(0, summary.callerError() / SCALE);
		this.learnedError = Math.max(0, summary.learnedError() / SCALE);
		this.callerTail = Math.max(0, summary.callerTail() / SCALE);
		this.learnedTail = Math.max(0, summary.learnedTail() / SCALE);
		this.used = summary.used();
	}

	String queue() {
		return this.queue;
	}

	Optional<AccountId> account() {
		return this.account;
	}

	boolean used() {
		return this.used;
	}

	double weight() {
		return this.weight;
	}

	double callerError() {
		return this.callerError;
	}

	double learnedError() {
		return this.learnedError;
	}

	/**
	 * Predicts a run time, whether or not the prediction is used.
	 * @param x the logarithm of the caller's estimate
	 * @param prior the model that counts while there are few samples, or null for the
	 * caller's estimate
	 * @return the logarithm of the run time at speed 1
	 */
	double predict(double x, ClassModel prior) {
		double share = openShare();
		double total = this.weight + share * this.openWeight;
		if (total == 0) {
			return (prior != null) ? prior.predict(x, null) : x;
		}
		double meanX = (this.sumX + share * this.openX) / total;
		double meanY = (this.sumY + share * this.openY) / total;
		double varianceSum = Math.max(0, this.sumXx + share * this.openXx - total * meanX * meanX);
		double covarianceSum = this.sumXy + share * this.openXy - total * meanX * meanY;
		double center = (prior != null) ? prior.predict(meanX, null) : meanX;
		double priorSlope = (prior != null) ? prior.slope() : 1;
		double slope = (covarianceSum + SLOPE_PRIOR * priorSlope) / (varianceSum + SLOPE_PRIOR);
		double mean = (total * meanY + PRIOR_WEIGHT * center) / (total + PRIOR_WEIGHT);
		double range = MAX_DEVIATIONS * Math.max(MIN_SPREAD, Math.sqrt(varianceSum / total));
		double within = Math.clamp(x - meanX, -range, range);
		return mean + slope * within + (x - meanX - within);
	}

	private double slope() {
		if (this.weight == 0) {
			return 1;
		}
		double varianceSum = Math.max(0, this.sumXx - this.sumX * this.sumX / this.weight);
		return (this.sumXy - this.sumX * this.sumY / this.weight + SLOPE_PRIOR) / (varianceSum + SLOPE_PRIOR);
	}

	// Long runs are in progress for longer, so those in progress are not typical. They
	// count only while few runs have ended.
	private double openShare() {
		double room = Math.max(0, MAX_OPEN_WEIGHT - this.weight);
		return (this.openWeight > room) ? room / this.openWeight : 1;
	}

	/**
	 * Returns the 0.9 quantile of the error of the value in use.
	 * @param learned whether the learned run time is in use
	 * @return the logarithm of a factor, at least 0
	 */
	double tail(boolean learned) {
		return learned ? this.learnedTail : this.callerTail;
	}

	/**
	 * Adds the run time of a run that is done.
	 * @param x the logarithm of the caller's estimate
	 * @param y the logarithm of the run time at speed 1
	 * @param predicted the prediction at the start of the run
	 * @param sampleWeight the weight, below 1 for one of several runs that are alike
	 * @param prior the prior of {@link #predict}
	 */
	void add(double x, double y, double predicted, double sampleWeight, ClassModel prior) {
		double current = predict(x, prior);
		updateErrors(y - x, y - predicted, sampleWeight);
		this.signedError += Math.min(1, sampleWeight / CHANGE_MEMORY) * (y - current - this.signedError);
		double keep = Math.pow(1 - 1 / MEMORY, sampleWeight);
		if (this.errorWeight > CHANGE_MEMORY
				&& Math.abs(this.signedError) > CHANGE_THRESHOLD * Math.max(MIN_ERROR, this.learnedError)) {
			keep *= KEPT_AFTER_CHANGE;
			this.signedError = 0;
		}
		double limit = MAX_RESIDUAL * Math.max(MIN_ERROR, this.learnedError);
		double value = (this.weight < MIN_USED_WEIGHT) ? y : current + Math.clamp(y - current, -limit, limit);
		this.weight = this.weight * keep + sampleWeight;
		this.sumX = this.sumX * keep + sampleWeight * x;
		this.sumY = this.sumY * keep + sampleWeight * value;
		this.sumXx = this.sumXx * keep + sampleWeight * x * x;
		this.sumXy = this.sumXy * keep + sampleWeight * x * value;
	}

	private void updateErrors(double callerResidual, double residual, double sampleWeight) {
		double callerRatio = tailRatio(this.callerTail, this.callerError, callerResidual, sampleWeight);
		double learnedRatio = tailRatio(this.learnedTail, this.learnedError, residual, sampleWeight);
		this.errorWeight = Math.min(this.errorWeight + sampleWeight, ERROR_MEMORY);
		double share = Math.min(1, sampleWeight / this.errorWeight);
		this.callerError += share * (Math.abs(callerResidual) - this.callerError);
		this.learnedError += share * (Math.abs(residual) - this.learnedError);
		this.callerTail = callerRatio * this.callerError;
		this.learnedTail = learnedRatio * this.learnedError;
	}

	// Stochastic approximation of a quantile, relative to the mean absolute error.
	private double tailRatio(double tail, double error, double residual, double sampleWeight) {
		if (this.errorWeight < MIN_USED_WEIGHT || error == 0) {
			return TAIL_PER_ERROR;
		}
		double step = TAIL_STEP * sampleWeight * ((residual > tail) ? TAIL_SHARE : TAIL_SHARE - 1);
		return Math.clamp(tail / error + step, MIN_TAIL_RATIO, MAX_TAIL_RATIO);
	}

	void clearOpen() {
		this.openWeight = 0;
		this.openX = 0;
		this.openY = 0;
		this.openXx = 0;
		this.openXy = 0;
	}

	void addOpen(double x, double y, double sampleWeight) {
		this.openWeight += sampleWeight;
		this.openX += sampleWeight * x;
		this.openY += sampleWeight * y;
		this.openXx += sampleWeight * x * x;
		this.openXy += sampleWeight * x * y;
	}

	/**
	 * Decides whether the learned values are used from now on.
	 * @return whether this changes
	 */
	boolean decideUse() {
		boolean before = this.used;
		this.used = this.weight >= MIN_USED_WEIGHT
				&& this.learnedError < (this.used ? this.callerError : this.callerError * USE_SHARE - USE_ADVANTAGE);
		return this.used != before;
	}

	/**
	 * Returns what is recorded of the class, which needs at least one sample.
	 * @return the summary
	 */
	ClassRunTimes summary() {
		double x = this.sumX / this.weight;
		double y = this.sumY / this.weight;
		return new ClassRunTimes(this.queue, this.account, scaled(this.weight), scaled(x), scaled(y),
				scaled(this.sumXx / this.weight - x * x), scaled(this.sumXy / this.weight - x * y),
				scaled(this.callerError), scaled(this.learnedError), scaled(this.callerTail), scaled(this.learnedTail),
				this.used);
	}

	private static int scaled(double value) {
		return (int) Math.round(value * SCALE);
	}

}
