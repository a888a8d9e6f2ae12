package io.verbenatrack.server.log;

import java.util.List;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Scheduling decisions that are applied atomically.
 *
 * @param sequence one more than that of the previous batch; a batch with any other
 * sequence is not applied, because it was decided on a state that was never committed
 * @param decisions the decisions in order
 */
public record DecisionBatch(long sequence, List<SchedulingDecision> decisions) {

	public DecisionBatch {
		decisions = List.copyOf(decisions);
	}

}
