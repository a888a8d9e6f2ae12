package io.verbenatrack.fleet.forecast;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * Takes the estimates of the callers as they are, and all workers as alike.
 */
final class DeclaredForecast implements RunForecast {

	private static final int WHOLE_PERCENT = 100;

	@Override
	public long totalMillis(RunClass runClass, long estimatedMillis, Quantile quantile) {
		return estimatedMillis;
	}

	@Override
	public long remainingMillis(TaskId task, int run, RunClass runClass, long estimatedMillis, int percent,
			Quantile quantile) {
		return Math.max(0, estimatedMillis * (WHOLE_PERCENT - percent) / WHOLE_PERCENT);
	}

	@Override
	public double speed(WorkerIncarnation worker) {
		return 1;
	}

}
