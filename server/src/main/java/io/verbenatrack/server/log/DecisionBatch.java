package io.verbenatrack.server.log;

import java.util.List;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Decisions that take effect together.
 *
 * @param sequence 1 more than that of the batch before; any other is not applied, since
 * it was decided on a state that never came to be
 * @param decisions the decisions in order
 */
public record DecisionBatch(long sequence, List<SchedulingDecision> decisions) {

	public DecisionBatch {
		decisions = List.copyOf(decisions);
	}

}
