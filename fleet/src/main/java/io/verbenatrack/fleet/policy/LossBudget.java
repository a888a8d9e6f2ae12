package io.verbenatrack.fleet.policy;

/**
 * Limits the work that is discarded per second for steps without a guarantee.
 */
final class LossBudget {

	/**
	 * Jobs of lower priority keep at least 95% of the work that the fleet can do.
	 */
	private static final double MAX_SHARE = 0.05;

	/** A burst of urgent jobs may use the budget of this time at once. */
	private static final double BURST_MILLIS = 5000;

	private static final double NANOS_PER_MILLI = 1e6;

	private double availableMillis;

	private long filledNanos;

	private boolean filled;

	/**
	 * Adds the budget for the time since the last call. The first call provides the
	 * budget for a burst.
	 * @param weight the weight of the resources of all workers
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void fill(double weight, long nowNanos) {
		double elapsedMillis = this.filled ? (nowNanos - this.filledNanos) / NANOS_PER_MILLI : BURST_MILLIS;
		this.availableMillis = Math.min(MAX_SHARE * weight * BURST_MILLIS,
				this.availableMillis + MAX_SHARE * weight * elapsedMillis);
		this.filledNanos = nowNanos;
		this.filled = true;
	}

	/**
	 * Returns whether work may be discarded now. A single loss may exceed the budget, as
	 * that of a small fleet is smaller than the work of one gang; the next one then waits
	 * until the budget has recovered.
	 * @return whether budget is left
	 */
	boolean left() {
		return this.availableMillis > 0;
	}

	/**
	 * Takes discarded work from the budget.
	 * @param lostMillis the work in milliseconds weighted by resources
	 */
	void spend(double lostMillis) {
		this.availableMillis -= lostMillis;
	}

}
