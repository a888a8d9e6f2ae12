package io.verbenatrack.server.leader;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Hears what the scheduling thread does; called by that thread.
 */
public interface SchedulingListener {

	/**
	 * A committed decision is carried out.
	 * @param decision the decision
	 */
	void onDecision(SchedulingDecision decision);

	/**
	 * A turn of the thread failed; it begins anew from the committed state.
	 * @param failure what was thrown
	 */
	void onFailure(RuntimeException failure);

}
