package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;

import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.LeaseClock;

/**
 * The clocks of the modelled leader: they drift, the monotonic clock stops during
 * suspensions, and the wall clock jumps.
 */
final class ModelClock {

	private static final double MAX_DRIFT = 0.02;

	private static final long MIN_STEP_MILLIS = 100;

	private static final long MAX_STEP_MILLIS = 5000;

	private final Random random;

	private final double rate;

	private final LeaseClock clock;

	private double bootMillis;

	private double monotonicMillis;

	private long wallMillis;

	ModelClock(Random random) {
		this.random = random;
		this.rate = 1 + MAX_DRIFT * (2 * random.nextDouble() - 1);
		this.clock = random.nextBoolean() ? LeaseClock.exact(() -> nanos(this.bootMillis))
				: LeaseClock.estimated(() -> nanos(this.monotonicMillis), () -> Instant.ofEpochMilli(this.wallMillis));
	}

	private static long nanos(double millis) {
		return (long) (millis * Duration.ofMillis(1).toNanos());
	}

	void advance(long millis, boolean suspended) {
		this.bootMillis += millis * this.rate;
		this.monotonicMillis += suspended ? 0 : millis * this.rate;
		this.wallMillis += millis;
	}

	// Small steps forward are the most common ones.
	void stepWallClock() {
		long step = MIN_STEP_MILLIS
				+ (long) ((MAX_STEP_MILLIS - MIN_STEP_MILLIS) * Math.pow(this.random.nextDouble(), 3));
		this.wallMillis += (this.random.nextInt(4) > 0) ? step : -step;
	}

	GrantedTime granted() {
		this.clock.held();
		return this.clock.granted();
	}

}
