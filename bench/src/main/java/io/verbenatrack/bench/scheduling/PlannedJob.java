package io.verbenatrack.bench.scheduling;

import java.util.OptionalLong;

import io.verbenatrack.model.JobSpec;

/**
 * A job of the bench with its row in the table of true run times.
 *
 * @param spec what the caller declares
 * @param arrivalMs when it is submitted
 * @param runTimeMs how long it really runs
 * @param cancelMs when it is cancelled, if it is
 */
record PlannedJob(JobSpec spec, long arrivalMs, long runTimeMs, OptionalLong cancelMs) {

	double work() {
		return (double) this.runTimeMs * this.spec.shape().accelerators();
	}

	boolean cancelled() {
		return this.cancelMs.isPresent();
	}

}
