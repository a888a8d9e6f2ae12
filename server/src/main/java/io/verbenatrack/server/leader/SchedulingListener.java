package io.verbenatrack.server.leader;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Receives the events of the scheduling thread, on that thread.
 */
public interface SchedulingListener {

	/**
	 * Called when a committed decision is carried out.
	 * @param decision the decision
	 */
	void onDecision(SchedulingDecision decision);

	/**
	 * Called when an iteration of the thread failed. The thread then starts a new session
	 * from the committed state.
	 * @param failure the exception
	 */
	void onFailure(RuntimeException failure);

}
