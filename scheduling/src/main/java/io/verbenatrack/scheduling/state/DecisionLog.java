package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Gathers the decisions on one event and applies each at once.
 */
public final class DecisionLog {

	private final SchedulingState state;

	private final List<SchedulingDecision> decisions = new ArrayList<>();

	/**
	 * Starts with no decision.
	 * @param state the state that decisions change
	 */
	public DecisionLog(SchedulingState state) {
		this.state = state;
	}

	/**
	 * Takes a decision.
	 * @param decision the decision
	 */
	public void add(SchedulingDecision decision) {
		this.state.apply(decision);
		this.decisions.add(decision);
	}

	/**
	 * Every decision taken.
	 * @return the decisions in order
	 */
	public List<SchedulingDecision> decisions() {
		return List.copyOf(this.decisions);
	}

}
