package io.verbenatrack.scheduling;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.JobId;

/**
 * Makes the scheduling decisions for jobs. Implementations are not thread-safe.
 *
 * <p>
 * The leader calls {@link #decide}, which also applies the decisions to the leader's
 * state, and replicates the decisions. Every replica, the leader included, passes
 * committed decisions to {@link #apply} of its committed copy.
 */
public interface Scheduler {

	/**
	 * Decides on an event and applies the decisions to this scheduler's own state.
	 * @param event what happened
	 * @param now the time of the event
	 * @return the decisions in order, empty when the event requires none
	 */
	List<SchedulingDecision> decide(SchedulingEvent event, Instant now);

	/**
	 * Applies decisions that were made by another scheduler.
	 * @param decisions the decisions in order
	 * @throws IllegalStateException if a decision does not match the state, such as one
	 * on an unknown job
	 */
	void apply(List<SchedulingDecision> decisions);

	/**
	 * Returns a view of the state for operators.
	 * @return a copy of the state
	 */
	SchedulingView view();

	/**
	 * Returns the decisions that recreate this state when applied to a new scheduler.
	 * @return the decisions in order
	 */
	List<SchedulingDecision> replay();

	/**
	 * Finds one job.
	 * @param id the job
	 * @return the view of the job, empty when the job is unknown
	 */
	Optional<SchedulingView.JobView> job(JobId id);

}
