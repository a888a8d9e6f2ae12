package io.verbenatrack.scheduling.state;

import io.verbenatrack.model.StateChart;

/**
 * The state charts of jobs, members, workers and leases, loaded from {@code /charts}.
 */
final class StateCharts {

	static final StateChart JOB = load("job");

	static final StateChart MEMBER = load("member");

	static final StateChart WORKER = load("worker");

	static final StateChart LEASE = load("lease");

	private StateCharts() {
	}

	private static StateChart load(String name) {
		return StateChart.load(StateCharts.class, "/charts/" + name + ".yaml");
	}

	static String next(StateChart chart, String state, String event) {
		return chart.next(state, event)
			.orElseThrow(() -> new IllegalStateException("No transition of the " + chart.name() + " chart from state "
					+ state + " on event " + event + ". Apply the decisions in the order of the log."));
	}

}
