package io.verbenatrack.server.routing;

import org.eclipse.jetty.client.Connection;

import io.verbenatrack.model.StateChart;
import io.verbenatrack.routing.RequestRouter;

/**
 * A connection to a target and its state in the connection state chart.
 */
final class TargetConnection {

	static final StateChart CHART = StateChart.load(RequestRouter.class, "/charts/connection.yaml");

	private final Connection connection;

	private final long openedAtNanos;

	private String state = CHART.initialState();

	private long repliedAtNanos;

	TargetConnection(Connection connection, long nowNanos) {
		this.connection = connection;
		this.openedAtNanos = nowNanos;
		this.repliedAtNanos = nowNanos;
	}

	Connection connection() {
		return this.connection;
	}

	synchronized boolean transition(String event) {
		String next = CHART.next(this.state, event).orElse(null);
		if (next == null) {
			return false;
		}
		this.state = next;
		if (CHART.isFinal(next)) {
			this.connection.close();
		}
		return true;
	}

	synchronized boolean recordReply(long nowNanos) {
		this.repliedAtNanos = nowNanos;
		return transition("replied");
	}

	synchronized boolean isIn(String name) {
		return this.state.equals(name);
	}

	synchronized long silentNanos(long nowNanos) {
		return nowNanos - this.repliedAtNanos;
	}

	long ageNanos(long nowNanos) {
		return nowNanos - this.openedAtNanos;
	}

}
