package io.verbenatrack.model;

import java.time.Duration;

/**
 * A reading of elapsed time that never runs fast, for permissions that this process
 * granted to others, such as the leases of workers: when such a permission has expired by
 * this reading, its holder no longer acts on it.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record GrantedTime(long nanos) {

	/**
	 * Adds a duration.
	 * @param duration the duration
	 * @return the later time
	 */
	public GrantedTime plus(Duration duration) {
		return new GrantedTime(this.nanos + duration.toNanos());
	}

	/**
	 * Returns whether this reading is before another one.
	 * @param other the other reading
	 * @return whether it is earlier
	 */
	public boolean isBefore(GrantedTime other) {
		return this.nanos - other.nanos < 0;
	}

	/**
	 * Returns the time that has passed since an earlier reading.
	 * @param earlier the earlier reading
	 * @return the time in nanoseconds
	 */
	public long nanosSince(GrantedTime earlier) {
		return this.nanos - earlier.nanos;
	}

}
