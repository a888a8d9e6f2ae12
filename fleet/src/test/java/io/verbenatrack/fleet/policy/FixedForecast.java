package io.verbenatrack.fleet.policy;

import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunClass;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * A forecast with given factors on the estimates and given speeds. The remaining time is
 * that of nominal speed, unless a test gives the time of a whole run.
 */
final class FixedForecast implements RunForecast {

	private static final int WHOLE_PERCENT = 100;

	final Map<WorkerIncarnation, Double> speeds = new HashMap<>();

	/** Factors on the estimates by the name of the queue. */
	final Map<String, Double> factors = new HashMap<>();

	/** Times that whole runs take on their workers, in milliseconds. */
	final Map<TaskId, Long> runMillis = new HashMap<>();

	@Override
	public long totalMillis(RunClass runClass, long estimatedMillis, Quantile quantile) {
		return (long) (estimatedMillis * this.factors.getOrDefault(runClass.queue(), 1.0));
	}

	@Override
	public long remainingMillis(TaskId task, int run, RunClass runClass, long estimatedMillis, int percent,
			Quantile quantile) {
		long whole = this.runMillis.getOrDefault(task, totalMillis(runClass, estimatedMillis, quantile));
		return whole * (WHOLE_PERCENT - percent) / WHOLE_PERCENT;
	}

	@Override
	public double speed(WorkerIncarnation worker) {
		return this.speeds.getOrDefault(worker, 1.0);
	}

}
