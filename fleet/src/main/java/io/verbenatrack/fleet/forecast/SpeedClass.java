package io.verbenatrack.fleet.forecast;

/**
 * A coarse class of the speed of a worker, for people who read the log.
 */
public enum SpeedClass {

	/** Below 0.35 of the median speed. */
	VERY_SLOW(0.35),

	/** Below 0.7 of the median speed. */
	SLOW(0.7),

	/** From 0.7 to 1.5 times the median speed. */
	NORMAL(1.5),

	/** Above. */
	FAST(Double.MAX_VALUE);

	/** A speed this close to a limit does not change the class. */
	private static final double MARGIN = 1.1;

	private final double limit;

	SpeedClass(double limit) {
		this.limit = limit;
	}

	/**
	 * Returns the class of a speed.
	 * @param speed the speed relative to the median
	 * @return the class
	 */
	static SpeedClass of(double speed) {
		for (SpeedClass candidate : values()) {
			if (speed < candidate.limit) {
				return candidate;
			}
		}
		return FAST;
	}

	/**
	 * Returns the class of a speed that was in this class before.
	 * @param speed the speed relative to the median
	 * @return another class only if the speed is well within it
	 */
	SpeedClass next(double speed) {
		SpeedClass lower = of(speed * MARGIN);
		SpeedClass upper = of(speed / MARGIN);
		return (lower.compareTo(this) < 0) ? lower : (upper.compareTo(this) > 0) ? upper : this;
	}

}
