package io.verbenatrack.model;

import java.time.Duration;

/**
 * A reading of elapsed time that never runs slow, for permissions that this process
 * holds, such as its leader lease: when such a permission counts as valid by this
 * reading, it is valid.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record HeldTime(long nanos) {

	/**
	 * Adds a duration.
	 * @param duration the duration
	 * @return the later time
	 */
	public HeldTime plus(Duration duration) {
		return new HeldTime(this.nanos + duration.toNanos());
	}

	/**
	 * Returns whether this reading is before another one.
	 * @param other the other reading
	 * @return whether it is earlier
	 */
	public boolean isBefore(HeldTime other) {
		return this.nanos - other.nanos < 0;
	}

}
