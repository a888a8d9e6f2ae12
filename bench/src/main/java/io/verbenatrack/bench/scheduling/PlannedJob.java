package io.verbenatrack.bench.scheduling;

import java.util.OptionalLong;

import io.verbenatrack.model.JobSpec;

/**
 * Job of the bench with its actual run time.
 *
 * @param spec the job as declared by the caller
 * @param arrivalMs the submission time in milliseconds
 * @param runTimeMs the actual run time in milliseconds
 * @param cancelMs the cancellation time in milliseconds, empty if the job is not
 * cancelled
 */
record PlannedJob(JobSpec spec, long arrivalMs, long runTimeMs, OptionalLong cancelMs) {

	double work() {
		return (double) this.runTimeMs * this.spec.shape().accelerators();
	}

	boolean cancelled() {
		return this.cancelMs.isPresent();
	}

}
