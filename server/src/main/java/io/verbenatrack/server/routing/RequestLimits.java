package io.verbenatrack.server.routing;

import java.time.Duration;

/**
 * The limits on the requests of callers.
 *
 * @param maximumTimeout the longest timeout that a caller may set; claims must be
 * retained longer
 * @param bufferedBytes the largest body that is buffered and checked before it is passed
 * on, in bytes
 * @param maximumBytes the largest body of a request, in bytes
 */
public record RequestLimits(Duration maximumTimeout, int bufferedBytes, long maximumBytes) {

	/** The default limits. */
	public static final RequestLimits STANDARD = new RequestLimits(Duration.ofMinutes(30), 256 * 1024,
			1024L * 1024 * 1024);

}
