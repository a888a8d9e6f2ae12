package io.verbenatrack.server.routing;

import java.time.Duration;

/**
 * The limits on what callers send.
 *
 * @param maximumTimeout the longest time a caller may wait; claims outlive it
 * @param bufferedBytes bodies up to this size are held and checked whole
 * @param maximumBytes the largest body of a request, in bytes
 */
public record RequestLimits(Duration maximumTimeout, int bufferedBytes, long maximumBytes) {

	/** The limits of an instance whose operators give none. */
	public static final RequestLimits STANDARD = new RequestLimits(Duration.ofMinutes(30), 256 * 1024,
			1024L * 1024 * 1024);

}
