package io.verbenatrack.routing;

/**
 * Exponential moving averages of the service times of answered requests, in nanoseconds.
 */
final class ServiceTimes {

	private static final double RECENT_GAIN = 0.05;

	private static final double USUAL_GAIN = 0.002;

	private static final double DEVIATION_GAIN = 0.05;

	private int samples;

	private double recentNanos;

	private double usualNanos;

	private double deviationNanos;

	void add(long nanos) {
		this.samples = Math.min(Integer.MAX_VALUE - 1, this.samples + 1);
		double warmUp = 1.0 / this.samples;
		this.deviationNanos += Math.max(DEVIATION_GAIN, warmUp)
				* (Math.abs(nanos - this.recentNanos) - this.deviationNanos);
		this.recentNanos += Math.max(RECENT_GAIN, warmUp) * (nanos - this.recentNanos);
		this.usualNanos += Math.max(USUAL_GAIN, warmUp) * (nanos - this.usualNanos);
	}

	int samples() {
		return this.samples;
	}

	long meanNanos() {
		return (long) this.recentNanos;
	}

	double usualNanos() {
		return this.usualNanos;
	}

	long deviationNanos() {
		return (long) this.deviationNanos;
	}

}
