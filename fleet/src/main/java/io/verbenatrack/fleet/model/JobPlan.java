package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * What a caller submits.
 *
 * @param payload the text that each task is started with
 * @param steps the steps, numbered from 0
 * @param firstMillis when the first occurrence is due, in milliseconds since 1970
 * @param periodMillis the time between two occurrences in milliseconds
 * @param occurrences how often the steps run; a job without a timetable has one
 * occurrence that is due at once
 */
public record JobPlan(String payload, List<StepSpec> steps, long firstMillis, long periodMillis, int occurrences) {

	public JobPlan {
		steps = List.copyOf(steps);
	}

	/**
	 * When an occurrence is due.
	 * @param occurrence its number, from 0
	 * @return milliseconds since 1970; 0 without a timetable
	 */
	public long dueMillis(int occurrence) {
		return this.firstMillis + this.periodMillis * occurrence;
	}

	/**
	 * Whether the job has a timetable.
	 * @return whether its occurrences are due at set times
	 */
	public boolean scheduled() {
		return this.firstMillis > 0;
	}

}
