package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Collects the decisions on one event and applies each to the state when it is added.
 */
public final class DecisionCollector {

	private final SchedulingState state;

	private final List<SchedulingDecision> decisions = new ArrayList<>();

	/**
	 * Creates an empty collector.
	 * @param state the state that the decisions are applied to
	 */
	public DecisionCollector(SchedulingState state) {
		this.state = state;
	}

	/**
	 * Applies a decision and records it.
	 * @param decision the decision
	 */
	public void add(SchedulingDecision decision) {
		this.state.apply(decision);
		this.decisions.add(decision);
	}

	/**
	 * Returns the collected decisions.
	 * @return the decisions in order
	 */
	public List<SchedulingDecision> decisions() {
		return List.copyOf(this.decisions);
	}

}
