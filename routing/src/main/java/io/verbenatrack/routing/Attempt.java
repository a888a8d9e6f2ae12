package io.verbenatrack.routing;

import java.util.Optional;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.StateChart;

/**
 * One dispatch of a request to a target.
 */
final class Attempt {

	static final StateChart CHART = StateChart.load(Attempt.class, "/charts/attempt.yaml");

	private final AttemptId id;

	private final Exchange exchange;

	private final TargetState target;

	private final long startedNanos;

	private String state = CHART.initialState();

	private boolean replied;

	private boolean overdue;

	Attempt(AttemptId id, Exchange exchange, TargetState target, long startedNanos) {
		this.id = id;
		this.exchange = exchange;
		this.target = target;
		this.startedNanos = startedNanos;
	}

	AttemptId id() {
		return this.id;
	}

	Exchange exchange() {
		return this.exchange;
	}

	TargetState target() {
		return this.target;
	}

	long startedNanos() {
		return this.startedNanos;
	}

	boolean mayHaveReachedTarget() {
		return !this.state.equals(CHART.initialState());
	}

	boolean advance(AttemptStep step) {
		this.replied = this.replied || step == AttemptStep.ANSWER_HEAD;
		return transition(step.event());
	}

	boolean hasReply() {
		return this.replied;
	}

	boolean isOverdue() {
		return this.overdue;
	}

	void markOverdue(boolean deadlinePassed) {
		this.overdue = deadlinePassed;
	}

	/**
	 * Ends the dispatch. A result that is impossible in the current state is treated as
	 * lost.
	 * @param result the reported result
	 * @return the result to act on
	 */
	AttemptResult end(AttemptResult result) {
		if (transition(event(result))) {
			return result;
		}
		transition("lost");
		return new AttemptResult.Lost(LossCause.GARBAGE);
	}

	private static String event(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Answered answered -> "answered";
			case AttemptResult.NotBegun notBegun -> "refused";
			case AttemptResult.NotSent notSent -> "not-sent";
			case AttemptResult.Lost lost -> "lost";
		};
	}

	void acknowledge() {
		transition("acknowledged");
	}

	private boolean transition(String event) {
		Optional<String> next = CHART.next(this.state, event);
		next.ifPresent((state) -> this.state = state);
		return next.isPresent();
	}

}
