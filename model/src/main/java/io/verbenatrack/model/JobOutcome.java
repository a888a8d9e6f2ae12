package io.verbenatrack.model;

import java.time.Instant;

/**
 * The final outcome of a job. Each accepted job gets exactly one.
 */
public sealed interface JobOutcome {

	/**
	 * Returns the time at which the outcome was decided.
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
	 * The job was permanently refused.
	 *
	 * @param at when it was refused
	 * @param reason the problem and its remedy
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
