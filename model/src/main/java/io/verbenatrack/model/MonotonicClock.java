package io.verbenatrack.model;

/**
 * Reads a clock that never goes back and is not set by anybody.
 */
public interface MonotonicClock {

	/**
	 * The time since an arbitrary start.
	 * @return nanoseconds
	 */
	long nanoTime();

	/**
	 * The clock of this machine.
	 * @return a clock backed by {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
