package io.verbenatrack.model;

import java.time.Duration;
import java.time.InstantSource;

/**
 * A lease clock for machines whose boot-time clock cannot be read. Permissions granted
 * are measured on the monotonic clock, which may stop during a suspension.
 *
 * <p>
 * For permissions held, any jump of the wall clock relative to the monotonic clock counts
 * as a suspension that outlasts every lease: a suspension and a step of the wall clock
 * look alike, and a step back can hide a part of a suspension. Only a step back that
 * matches the suspension almost exactly remains undetected.
 */
final class WallClockLeaseClock implements LeaseClock {

	/** Jumps of the wall clock up to this length count as clock corrections. */
	private static final long MAX_CORRECTION_NANOS = Duration.ofMillis(150).toNanos();

	/** Longer than any lease. */
	private static final long SUSPENSION_NANOS = Duration.ofMinutes(1).toNanos();

	/** Faster than operating systems adjust a wall clock gradually: 0.1%. */
	private static final long ELAPSED_PER_ADJUSTMENT = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final MonotonicClock monotonic;

	private final InstantSource wallClock;

	private long suspendedNanos;

	private long lastDifferenceNanos;

	private long lastReadNanos;

	/**
	 * Creates a clock.
	 * @param monotonic the monotonic clock, which may stop during a suspension
	 * @param wallClock the wall clock, which advances during a suspension
	 */
	WallClockLeaseClock(MonotonicClock monotonic, InstantSource wallClock) {
		this.monotonic = monotonic;
		this.wallClock = wallClock;
		this.lastReadNanos = monotonic.nanoTime();
		this.lastDifferenceNanos = difference(this.lastReadNanos);
	}

	private long difference(long monotonicNanos) {
		return this.wallClock.millis() * NANOS_PER_MILLI - monotonicNanos;
	}

	@Override
	public boolean exact() {
		return false;
	}

	@Override
	public synchronized HeldTime held() {
		long now = this.monotonic.nanoTime();
		long difference = difference(now);
		long jump = difference - this.lastDifferenceNanos;
		if (Math.abs(jump) > MAX_CORRECTION_NANOS) {
			this.suspendedNanos += Math.max(jump, 0) + SUSPENSION_NANOS;
			this.lastDifferenceNanos = difference;
		}
		else {
			long adjustment = (now - this.lastReadNanos) / ELAPSED_PER_ADJUSTMENT;
			this.lastDifferenceNanos += Math.clamp(jump, -adjustment, adjustment);
		}
		this.lastReadNanos = now;
		return new HeldTime(now + this.suspendedNanos);
	}

	@Override
	public GrantedTime granted() {
		return new GrantedTime(this.monotonic.nanoTime());
	}

}
