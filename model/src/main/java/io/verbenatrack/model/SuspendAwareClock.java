package io.verbenatrack.model;

import java.time.Duration;
import java.time.InstantSource;

/**
 * A monotonic clock that also counts the time for which the machine was suspended.
 *
 * <p>
 * The steady clock stands still while a machine is suspended, so a lease measured by it
 * would outlast its promise. The time of day goes on: when it runs ahead of the steady
 * clock by more than clocks are usually corrected, the difference is added. A time of day
 * that is set forward has the same effect, which ends leases early and does no harm.
 */
public final class SuspendAwareClock implements MonotonicClock {

	/** Corrections of the time of day that are smaller than this are not suspensions. */
	private static final long TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final MonotonicClock steady;

	private final InstantSource timeOfDay;

	private long offsetNanos;

	private long differenceNanos;

	/**
	 * Creates a clock.
	 * @param steady the steady clock
	 * @param timeOfDay the time of day, which goes on during a suspension
	 */
	public SuspendAwareClock(MonotonicClock steady, InstantSource timeOfDay) {
		this.steady = steady;
		this.timeOfDay = timeOfDay;
		this.differenceNanos = difference(steady.nanoTime());
	}

	private long difference(long steadyNanos) {
		return this.timeOfDay.millis() * NANOS_PER_MILLI - steadyNanos;
	}

	@Override
	public synchronized long nanoTime() {
		long now = this.steady.nanoTime();
		long difference = difference(now);
		long ahead = difference - this.differenceNanos;
		if (ahead > TOLERANCE_NANOS) {
			this.offsetNanos += ahead;
		}
		if (ahead > TOLERANCE_NANOS || ahead < 0) {
			this.differenceNanos = difference;
		}
		return now + this.offsetNanos;
	}

}
