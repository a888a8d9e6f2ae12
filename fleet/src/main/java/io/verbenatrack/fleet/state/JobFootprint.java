package io.verbenatrack.fleet.state;

import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.StepSpec;

/**
 * Estimates how much memory of a replica a job takes.
 */
public final class JobFootprint {

	/** The bytes of a job without its text, steps and tasks. */
	private static final long JOB_BYTES = 1000;

	/** The bytes of a step with its labels. */
	private static final long STEP_BYTES = 500;

	/** The bytes of a step that another one depends on. */
	private static final long DEPENDENCY_BYTES = 20;

	/** The bytes of a task that has started, with its run and its checkpoint. */
	private static final long TASK_BYTES = 400;

	private static final long BYTES_PER_CHARACTER = 2;

	private JobFootprint() {
	}

	/**
	 * Returns the memory that a job may take until it has ended. Occurrences that are not
	 * due, and those that are done, take none.
	 * @param plan the plan of the job
	 * @return an upper estimate in bytes
	 */
	public static long bytes(JobPlan plan) {
		long tasks = plan.steps().stream().mapToLong(StepSpec::count).sum();
		return endedBytes(plan) + tasks * occurrencesAtOnce(plan) * TASK_BYTES;
	}

	static long endedBytes(JobPlan plan) {
		long dependencies = plan.steps().stream().mapToLong((step) -> step.after().size()).sum();
		return JOB_BYTES + plan.payload().length() * BYTES_PER_CHARACTER + plan.steps().size() * STEP_BYTES
				+ dependencies * DEPENDENCY_BYTES;
	}

	// The occurrences whose tasks run at once, if each is done before its estimate is
	// over; at least one.
	private static long occurrencesAtOnce(JobPlan plan) {
		if (plan.periodMillis() == 0) {
			return plan.occurrences();
		}
		long workMillis = plan.steps().stream().mapToLong(StepSpec::estimatedMillis).sum();
		return Math.min(plan.occurrences(), 1 + workMillis / plan.periodMillis());
	}

}
