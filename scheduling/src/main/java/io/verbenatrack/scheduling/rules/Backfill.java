package io.verbenatrack.scheduling.rules;

import java.time.Instant;

import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RunTimeSamples;

/**
 * Decides whether a job may use accelerators that are reserved for another job, which
 * requires that it ends in time.
 */
public final class Backfill {

	private Backfill() {
	}

	/**
	 * Returns whether a job may start on accelerators that are reserved for another.
	 * @param samples the run time samples
	 * @param job the job
	 * @param now the time
	 * @param readyAt when the reserved accelerators are expected to be available
	 * @return whether the job ends by then according to a cautious estimate
	 */
	public static boolean allows(RunTimeSamples samples, JobRecord job, Instant now, Instant readyAt) {
		return !now.plus(RunTimeEstimate.remaining(samples, job, RunTimeEstimate.CAUTIOUS, now)).isAfter(readyAt);
	}

}
