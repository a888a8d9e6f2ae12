package io.verbenatrack.scheduling.rules;

import java.time.Instant;

import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RunTimeSamples;

/**
 * Lets a later job use accelerators that are kept for an earlier one if it ends in time.
 */
public final class Backfill {

	private Backfill() {
	}

	/**
	 * Whether a job may start on accelerators that are kept for another.
	 * @param samples what is known of run times
	 * @param job the job
	 * @param now the time
	 * @param readyAt when the accelerators are needed
	 * @return whether the job ends before that by a cautious estimate
	 */
	public static boolean allows(RunTimeSamples samples, JobRecord job, Instant now, Instant readyAt) {
		return !now.plus(RunTimeEstimate.remaining(samples, job, RunTimeEstimate.CAUTIOUS, now)).isAfter(readyAt);
	}

}
