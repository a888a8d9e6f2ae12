package io.verbenatrack.fleet.forecast;

import java.util.Arrays;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.fleet.state.RunTimes;
import io.verbenatrack.model.WorkerId;

/**
 * The learned speeds of the workers. The median of the known speeds is 1.
 */
final class WorkerSpeeds {

	/** More than the workers of a fleet; names come from workers. */
	private static final int MAX_WORKERS = RunTimes.MAX_WORKERS;

	/** The median of fewer workers may be any of them. */
	private static final int MIN_ANCHORS = 3;

	/** Log lines on speeds in a second at most. */
	private static final int MAX_EVENTS = 20;

	private static final double PERCENT = 100;

	/** In the order of their latest reports or runs. */
	private final Map<WorkerId, WorkerModel> models = new LinkedHashMap<>(16, 0.75f, true);

	private final double[] medians = new double[MAX_WORKERS + 1];

	void restore(Collection<WorkerSpeed> speeds, long nowNanos) {
		speeds.forEach((speed) -> model(speed.worker()).restore(speed.percent(), nowNanos));
	}

	WorkerModel model(WorkerId worker) {
		WorkerModel model = this.models.computeIfAbsent(worker, WorkerModel::new);
		if (this.models.size() > MAX_WORKERS) {
			Iterator<WorkerId> eldest = this.models.keySet().iterator();
			eldest.next();
			eldest.remove();
		}
		return model;
	}

	WorkerModel seen(WorkerReport report) {
		WorkerModel model = model(report.life().worker());
		model.seen(report.life().bornMillis(), report.rack());
		return model;
	}

	/**
	 * Returns the speed of a worker.
	 * @param worker the worker
	 * @return the factor, 1 if it is not known
	 */
	double speed(WorkerId worker) {
		WorkerModel model = this.models.get(worker);
		return (model != null) ? Math.exp(model.logSpeed()) : 1;
	}

	Collection<WorkerModel> models() {
		return this.models.values();
	}

	void update(long nowNanos) {
		this.models.values().forEach((model) -> model.update(nowNanos));
	}

	/**
	 * Makes the median speed 1. Run times at speed 1 are derived with speeds of this
	 * scale, so they need no change.
	 */
	void anchor() {
		int count = 0;
		for (WorkerModel model : this.models.values()) {
			if (model.measured()) {
				this.medians[count++] = model.logSpeed();
			}
		}
		if (count >= MIN_ANCHORS) {
			Arrays.sort(this.medians, 0, count);
			double offset = -(this.medians[(count - 1) / 2] + this.medians[count / 2]) / 2;
			this.models.values().stream().filter(WorkerModel::measured).forEach((model) -> model.shift(offset));
		}
	}

	/**
	 * Reports which workers have changed their class of speed.
	 * @param events receives the events
	 */
	void report(Collection<ForecastEvent> events) {
		int reported = 0;
		for (WorkerModel model : this.models.values()) {
			SpeedClass before = model.speedClass();
			SpeedClass now = before.next(Math.exp(model.logSpeed()));
			if (now != before && reported++ < MAX_EVENTS) {
				model.setSpeedClass(now);
				events.add(new ForecastEvent.SpeedChanged(model.worker(), before, now,
						(int) Math.round(PERCENT * Math.exp(model.logSpeed()))));
			}
		}
	}

}
