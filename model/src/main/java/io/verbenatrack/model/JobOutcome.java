package io.verbenatrack.model;

import java.time.Instant;

/**
 * How a job ended; each accepted job gets exactly one.
 */
public sealed interface JobOutcome {

	/**
	 * When the outcome was decided.
	 * @return the time
	 */
	Instant at();

	/**
	 * All members of the gang finished.
	 *
	 * @param at when the last member finished
	 */
	record Finished(Instant at) implements JobOutcome {

	}

	/**
	 * The job was refused for good.
	 *
	 * @param at when it was refused
	 * @param reason why, with the remedy
	 */
	record Refused(Instant at, Problem reason) implements JobOutcome {

	}

	/**
	 * The caller cancelled the job.
	 *
	 * @param at when it was cancelled
	 */
	record Cancelled(Instant at) implements JobOutcome {

	}

}
