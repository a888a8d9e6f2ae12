package io.verbenatrack.scheduling;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.JobId;

/**
 * Decides on jobs; not safe for use by several threads.
 *
 * <p>
 * The leader calls {@link #decide} and replicates the decisions; every replica, the
 * leader included, passes them to {@link #apply} once they are committed or, on the
 * leader, at once.
 */
public interface Scheduler {

	/**
	 * Decides on an event and applies the decisions to this scheduler's own state.
	 * @param event what happened
	 * @param now the time of the event
	 * @return the decisions in order, empty when there is nothing to do
	 */
	List<SchedulingDecision> decide(SchedulingEvent event, Instant now);

	/**
	 * Applies decisions that another replica made.
	 * @param decisions the decisions in order
	 */
	void apply(List<SchedulingDecision> decisions);

	/**
	 * What operators see.
	 * @return a copy of the state
	 */
	SchedulingView view();

	/**
	 * The decisions that recreate this state in a fresh scheduler.
	 * @return the decisions in order
	 */
	List<SchedulingDecision> replay();

	/**
	 * Finds one job.
	 * @param id the job
	 * @return what operators see of it, if it is known
	 */
	Optional<SchedulingView.JobView> job(JobId id);

}
