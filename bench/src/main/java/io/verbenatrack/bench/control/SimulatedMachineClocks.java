package io.verbenatrack.bench.control;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The clocks of a simulated machine, which drift, jump and stop on request.
 */
final class SimulatedMachineClocks {

	private static final Instant WALL_CLOCK_START = Instant.EPOCH.plus(Duration.ofDays(1));

	private final LongSupplier trueNanos;

	private double rate = 1;

	private long readNanos;

	private double bootNanos = 1_000_000_000;

	private double monotonicNanos = 1_000_000_000;

	private long wallOffsetNanos;

	private long suspendedUntilNanos;

	/**
	 * Creates clocks without drift.
	 * @param trueNanos the true time in nanoseconds
	 */
	SimulatedMachineClocks(LongSupplier trueNanos) {
		this.trueNanos = trueNanos;
	}

	private void advance() {
		long now = this.trueNanos.getAsLong();
		long awakeFrom = Math.min(now, Math.max(this.readNanos, this.suspendedUntilNanos));
		this.bootNanos += (now - this.readNanos) * this.rate;
		this.monotonicNanos += (now - awakeFrom) * this.rate;
		this.readNanos = now;
	}

	/**
	 * Reads the clock that counts suspensions.
	 * @return the time since an arbitrary origin in nanoseconds
	 */
	long bootNanos() {
		advance();
		return (long) this.bootNanos;
	}

	/**
	 * Reads the clock that stops during suspensions.
	 * @return the time since an arbitrary origin in nanoseconds
	 */
	long monotonicNanos() {
		advance();
		return (long) this.monotonicNanos;
	}

	Instant wallClock() {
		return WALL_CLOCK_START.plusNanos(this.trueNanos.getAsLong() + this.wallOffsetNanos);
	}

	/**
	 * Changes the rate of the clocks that nobody sets.
	 * @param newRate the number of local seconds per second of true time
	 */
	void rate(double newRate) {
		advance();
		this.rate = newRate;
	}

	void stepWallClock(long nanos) {
		this.wallOffsetNanos += nanos;
	}

	/**
	 * Begins or extends a suspension.
	 * @param untilNanos its end in nanoseconds of true time
	 */
	void suspendUntil(long untilNanos) {
		advance();
		this.suspendedUntilNanos = Math.max(this.suspendedUntilNanos, untilNanos);
	}

	/** Ends a suspension early. */
	void wake() {
		advance();
		this.suspendedUntilNanos = Math.min(this.suspendedUntilNanos, this.readNanos);
	}

}
