package io.verbenatrack.model;

import java.time.InstantSource;

/**
 * A clock for leases. It reads elapsed time twice, because the monotonic clock of a
 * machine stops while the machine is suspended: once so that no permission of this
 * process is used too long, and once so that no permission of another process counts as
 * expired too early. Neither reading ever goes backwards.
 */
public interface LeaseClock {

	/**
	 * Reads the time for permissions that this process holds.
	 * @return a reading that counts suspensions of the machine
	 */
	HeldTime held();

	/**
	 * Reads the time for permissions that this process granted.
	 * @return a reading that advances no faster than true time
	 */
	GrantedTime granted();

	/**
	 * Returns whether this clock measures suspensions rather than estimating them.
	 * @return whether both readings follow true time
	 */
	boolean exact();

	/**
	 * Takes both readings.
	 * @return the readings
	 */
	default ClockReading read() {
		return new ClockReading(held(), granted());
	}

	/**
	 * Returns the lease clock of this machine: its boot-time clock, or, if the Java
	 * runtime cannot read that, an estimate from the wall clock.
	 * @return the clock
	 */
	static LeaseClock system() {
		return BootTimeClock.open()
			.<LeaseClock>map(ExactLeaseClock::new)
			.orElseGet(() -> estimated(MonotonicClock.system(), InstantSource.system()));
	}

	/**
	 * Returns a lease clock for a monotonic clock that stops during suspensions. Any jump
	 * of the wall clock counts as a suspension for permissions that this process holds.
	 * @param monotonic the monotonic clock
	 * @param wallClock the wall clock
	 * @return a lease clock that estimates suspensions
	 */
	static LeaseClock estimated(MonotonicClock monotonic, InstantSource wallClock) {
		return new WallClockLeaseClock(monotonic, wallClock);
	}

	/**
	 * Returns a lease clock for a monotonic clock that does not stop during suspensions.
	 * @param clock the monotonic clock
	 * @return a lease clock whose readings are both those of that clock
	 */
	static LeaseClock exact(MonotonicClock clock) {
		return new ExactLeaseClock(clock);
	}

}
