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
	private static final long MAXIMUM_CORRECTION_NANOS = Duration.ofMillis(150).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final MonotonicClock monotonic;

	private final InstantSource wallClock;

	private long suspendedNanos;

	private long lastDifferenceNanos;

	/**
	 * Creates a clock.
	 * @param monotonic the monotonic clock, which may stop during a suspension
	 * @param wallClock the wall clock, which advances during a suspension
	 */
	public SuspendAwareClock(MonotonicClock monotonic, InstantSource wallClock) {
		this.monotonic = monotonic;
		this.wallClock = wallClock;
		this.lastDifferenceNanos = difference(monotonic.nanoTime());
	}

	private long difference(long monotonicNanos) {
		return this.wallClock.millis() * NANOS_PER_MILLI - monotonicNanos;
	}

	@Override
	public synchronized long nanoTime() {
		long now = this.monotonic.nanoTime();
		long difference = difference(now);
		long gain = difference - this.lastDifferenceNanos;
		if (gain > MAXIMUM_CORRECTION_NANOS) {
			this.suspendedNanos += gain;
		}
		if (gain > MAXIMUM_CORRECTION_NANOS || gain < 0) {
			this.lastDifferenceNanos = difference;
		}
		return now + this.suspendedNanos;
	}

}
