package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * The response to a heartbeat of a worker.
 *
 * @param leaseMillis how long the runs of the worker may continue, in milliseconds from
 * the sending of the heartbeat; 0 does not renew the lease
 * @param takenNote the number of the last reported end that is recorded, so that the
 * worker need not report it again
 * @param fence the fencing token; a worker ignores responses with a lower one
 * @param starts the runs to start
 * @param stops the runs to stop
 * @param retryMillis the maximum time until the next report, in milliseconds
 */
public record HeartbeatResponse(long leaseMillis, long takenNote, long fence, List<Start> starts, List<Stop> stops,
		long retryMillis) {

	/**
	 * An instruction to start a run.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param payload the text that is passed to the task
	 * @param checkpoint the checkpoint to resume from, empty to start from the beginning
	 */
	public record Start(TaskId task, int run, String payload, String checkpoint) {

		/** The bytes of a start without its texts. */
		private static final int FIXED_BYTES = 100;

		private static final int CONTROL_BYTES = 6;

		private static final int QUOTED_BYTES = 2;

		/**
		 * Returns how long the start is at most when it is encoded as JSON.
		 * @return the size in bytes
		 */
		public long maxEncodedBytes() {
			return FIXED_BYTES + encodedBytes(this.payload) + encodedBytes(this.checkpoint);
		}

		private static long encodedBytes(String text) {
			return text.chars().mapToLong(Start::encodedBytes).sum();
		}

		private static long encodedBytes(int character) {
			if (character < ' ') {
				return CONTROL_BYTES;
			}
			if (character == '"' || character == '\\') {
				return QUOTED_BYTES;
			}
			return (character < 0x80) ? 1 : 3;
		}

	}

	/**
	 * An instruction to stop a run.
	 *
	 * @param task the task
	 * @param run the run number
	 */
	public record Stop(TaskId task, int run) {

	}

}
