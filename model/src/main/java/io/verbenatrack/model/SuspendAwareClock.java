package io.verbenatrack.model;

import java.time.Duration;
import java.time.InstantSource;

/**
 * A monotonic clock that also counts the time for which the machine was suspended.
 *
 * <p>
 * The monotonic clock of the platform does not advance while the machine is suspended, so
 * a lease measured with it would be valid for longer than agreed. The wall clock keeps
 * advancing. When it gains more on the monotonic clock than a usual clock correction, the
 * difference is counted as a suspension. Setting the wall clock forward has the same
 * effect, which is safe: leases then expire early.
 */
public final class SuspendAwareClock implements MonotonicClock {

	/** Jumps of the wall clock up to this length count as clock corrections. */
	private static final long TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final MonotonicClock steady;

	private final InstantSource timeOfDay;

	private long offsetNanos;

	private long differenceNanos;

	/**
	 * Creates a clock.
	 * @param steady the monotonic clock, which may stop during a suspension
	 * @param timeOfDay the wall clock, which advances during a suspension
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
