package io.verbenatrack.server;

import java.util.Optional;

import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Registers the gauges of an instance: the control log, the configuration revision and
 * the open requests.
 */
final class InstanceGauges {

	private InstanceGauges() {
	}

	static void register(Metrics metrics, Optional<Replica> replica, ConfigurationLease lease, RequestRouting routing) {
		replica.ifPresent((controlReplica) -> {
			metrics.gauge(MetricName.CONTROL_TERM, controlReplica::term);
			metrics.gauge(MetricName.CONTROL_LEADER, () -> controlReplica.leads() ? 1 : 0);
		});
		metrics.gauge(MetricName.CONFIGURATION_REVISION, () -> lease.revision().number());
		metrics.gauge(MetricName.REQUESTS_IN_FLIGHT, () -> routing.counts().open());
		metrics.gauge(MetricName.REQUESTS_QUEUED, () -> routing.counts().queued());
	}

}
