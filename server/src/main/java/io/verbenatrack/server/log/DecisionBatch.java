package io.verbenatrack.server.log;

import java.util.List;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Decisions that take effect together.
 *
 * @param decisions the decisions in order
 */
public record DecisionBatch(List<SchedulingDecision> decisions) {

	public DecisionBatch {
		decisions = List.copyOf(decisions);
	}

}
