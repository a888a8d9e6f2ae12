package io.verbenatrack.routing;

/**
 * Exponential moving averages of the service times of answered requests, in nanoseconds.
 */
final class ServiceTimes {

	private static final double SHORT_TERM_GAIN = 0.05;

	private static final double LONG_TERM_GAIN = 0.002;

	private static final double DEVIATION_GAIN = 0.05;

	private int samples;

	private double meanNanos;

	private double longTermMeanNanos;

	private double deviationNanos;

	void add(long nanos) {
		this.samples = Math.min(Integer.MAX_VALUE - 1, this.samples + 1);
		double warmUpGain = 1.0 / this.samples;
		this.deviationNanos += Math.max(DEVIATION_GAIN, warmUpGain)
				* (Math.abs(nanos - this.meanNanos) - this.deviationNanos);
		this.meanNanos += Math.max(SHORT_TERM_GAIN, warmUpGain) * (nanos - this.meanNanos);
		this.longTermMeanNanos += Math.max(LONG_TERM_GAIN, warmUpGain) * (nanos - this.longTermMeanNanos);
	}

	int samples() {
		return this.samples;
	}

	long meanNanos() {
		return (long) this.meanNanos;
	}

	double longTermMeanNanos() {
		return this.longTermMeanNanos;
	}

	long deviationNanos() {
		return (long) this.deviationNanos;
	}

}
