package io.verbenatrack.fleetd;

import io.verbenatrack.fleet.forecast.ForecastEvent;
import io.verbenatrack.fleet.policy.FleetEvent;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Counts events of the leader that operators watch over time.
 */
final class EventMetrics {

	private static final double MILLIS_PER_SECOND = 1000;

	private final Metrics metrics;

	EventMetrics(Metrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Counts an event, if there is a counter for it.
	 * @param event the event
	 */
	void count(FleetEvent event) {
		switch (event) {
			case FleetEvent.ReportIgnored ignored ->
				this.metrics.counter(MetricName.FLEET_REPORTS_IGNORED, ignored.reason().name()).increment();
			case FleetEvent.RunGivenUp givenUp ->
				this.metrics.counter(MetricName.FLEET_RUNS_GIVEN_UP, givenUp.cause().name()).increment();
			case FleetEvent.EndIgnored ignored ->
				this.metrics.counter(MetricName.FLEET_ENDS_IGNORED, ignored.end().how().name()).increment();
			case FleetEvent.ForecastChanged changed -> count(changed.change());
			case FleetEvent.RunPreempted preempted -> {
				this.metrics.counter(MetricName.FLEET_RUNS_PREEMPTED, Boolean.toString(preempted.guaranteed()))
					.increment();
				this.metrics.counter(MetricName.FLEET_WORK_LOST, Boolean.toString(preempted.guaranteed()))
					.increment(preempted.lostMillis() / MILLIS_PER_SECOND);
			}
			default -> {
				// Not counted.
			}
		}
	}

	private void count(ForecastEvent change) {
		switch (change) {
			case ForecastEvent.RunTimesSwitched switched ->
				this.metrics.counter(MetricName.FLEET_FORECAST_CHANGES, switched.learned() ? "learned" : "declared")
					.increment();
			case ForecastEvent.SpeedChanged speed ->
				this.metrics.counter(MetricName.FLEET_FORECAST_CHANGES, "speed").increment();
			case ForecastEvent.ValuesIgnored ignored ->
				this.metrics.counter(MetricName.FLEET_FORECAST_VALUES_IGNORED).increment(ignored.values());
		}
	}

}
