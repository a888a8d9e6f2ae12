package io.verbenatrack.fleet.policy;

import io.verbenatrack.fleet.model.HeartbeatResponse;

/**
 * Limits the starts in the response to a heartbeat by their size, as a worker drops a
 * response that is too large, and would drop the same one again. What does not fit goes
 * with the responses to the next heartbeats.
 */
final class StartBudget {

	/**
	 * Half of what a worker takes. The stops of all its runs, which are not limited, fit
	 * into the rest.
	 */
	static final long MAX_BYTES = 2 << 20;

	private long bytes;

	/**
	 * Takes the room for a start.
	 * @param start the start
	 * @return whether there is room for it
	 */
	boolean take(HeartbeatResponse.Start start) {
		long size = start.maxEncodedBytes();
		if (this.bytes + size > MAX_BYTES) {
			return false;
		}
		this.bytes += size;
		return true;
	}

}
