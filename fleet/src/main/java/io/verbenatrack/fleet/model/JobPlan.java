package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * The plan of a job as its caller submits it.
 *
 * @param payload the text that is passed to each task
 * @param steps the steps; their index is the step number
 * @param firstMillis when the first occurrence is due, in milliseconds since the epoch; 0
 * for a job without a schedule
 * @param periodMillis the interval between two occurrences in milliseconds
 * @param occurrences the number of times that the steps run; a job without a schedule has
 * one occurrence that is due immediately
 */
public record JobPlan(String payload, List<StepSpec> steps, long firstMillis, long periodMillis, int occurrences) {

	public JobPlan {
		steps = List.copyOf(steps);
	}

	/**
	 * Returns when an occurrence is due.
	 * @param occurrence the index of the occurrence, from 0
	 * @return the time in milliseconds since the epoch; 0 for a job without a schedule
	 */
	public long dueMillis(int occurrence) {
		return this.firstMillis + this.periodMillis * occurrence;
	}

	/**
	 * Returns whether the job has a schedule.
	 * @return whether its occurrences are due at fixed times
	 */
	public boolean scheduled() {
		return this.firstMillis > 0;
	}

}
