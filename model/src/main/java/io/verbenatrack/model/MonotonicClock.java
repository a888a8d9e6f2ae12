package io.verbenatrack.model;

/**
 * A clock that never goes backwards and is not adjusted to the time of day.
 */
public interface MonotonicClock {

	/**
	 * Returns the time elapsed since an arbitrary origin.
	 * @return the time in nanoseconds
	 */
	long nanoTime();

	/**
	 * Returns the monotonic clock of this machine.
	 * @return a clock backed by {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
