package io.verbenatrack.fleetd;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.state.EvacuationState;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Shows for each availability zone whether it is evacuated, by the replicated state of
 * this replica. It shows the zones of the settings and those of the latest orders, so
 * that their number is bounded.
 */
final class EvacuationGauge {

	private final Consumer<Map<String, Double>> gauge;

	private Map<String, Double> shown = Map.of();

	EvacuationGauge(Metrics metrics) {
		this.gauge = metrics.gaugeByLabel(MetricName.FLEET_ZONES_EVACUATED);
	}

	/**
	 * Shows the present state. Called on each turn, as the state also changes when a
	 * follower applies an order or a snapshot is restored.
	 * @param stateMachine holds the replicated state
	 * @param settings the settings, which name further zones
	 */
	void update(FleetStateMachine stateMachine, EvacuationSettings settings) {
		Map<String, Double> values = stateMachine.read((state) -> values(state.evacuations(), settings));
		if (!values.equals(this.shown)) {
			this.shown = values;
			this.gauge.accept(values);
		}
	}

	private static Map<String, Double> values(EvacuationState state, EvacuationSettings settings) {
		Map<String, Double> values = new TreeMap<>();
		settings.zones().forEach((zone) -> values.put(zone.value(), 0.0));
		state.withdrawn().forEach((zone) -> values.put(zone.value(), 0.0));
		state.evacuated().forEach((zone) -> values.put(zone.value(), 1.0));
		return values;
	}

}
