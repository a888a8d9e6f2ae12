package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.forecast.RunObserver;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.GrantedTime;

/**
 * Learns run times and worker speeds during a term, unless the timings say that the
 * estimates of the callers are used unchanged.
 */
final class RunLearning {

	private final Optional<RunObserver> observer;

	private final RunForecast forecast;

	RunLearning(FleetState state, FleetTimings timings, GrantedTime now) {
		this.observer = timings.learnedRunTimes() ? Optional.of(new RunObserver(state, now.nanos())) : Optional.empty();
		this.forecast = this.observer.map(RunObserver::forecast).orElse(RunForecast.DECLARED);
	}

	/**
	 * Creates an instance that learns nothing.
	 * @param forecast the forecast to use
	 */
	RunLearning(RunForecast forecast) {
		this.observer = Optional.empty();
		this.forecast = forecast;
	}

	RunForecast forecast() {
		return this.forecast;
	}

	void observe(WorkerReport report, long nowNanos) {
		this.observer.ifPresent((learning) -> learning.observe(report, nowNanos));
	}

	void recordStart(TaskId task, int run, TrackedWorker worker) {
		this.observer
			.ifPresent((learning) -> learning.recordStart(task, run, worker.incarnation(), worker.lastReportNanos()));
	}

	Optional<FleetCommand> summary(GrantedTime now) {
		return this.observer.flatMap((learning) -> learning.summary(now.nanos()));
	}

	/**
	 * Moves the events of the forecast to those of the scheduler.
	 * @param events receives the events
	 */
	void drainEvents(List<FleetEvent> events) {
		this.observer.ifPresent((learning) -> learning.drainEvents()
			.forEach((change) -> events.add(new FleetEvent.ForecastChanged(change))));
	}

}
