package io.verbenatrack.fleet.forecast;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * Forecasts from the learned run times, the learned speeds of the workers and the paces
 * of the runs in progress.
 */
final class LearnedForecast implements RunForecast {

	private static final double WHOLE_PERCENT = 100;

	/** A run in progress has at least this many percent before it. */
	private static final double MIN_LEFT_PERCENT = 0.5;

	/** The remaining time of a run in progress is at least that of a report. */
	private static final long MIN_REMAINING_MILLIS = 50;

	/** The 0.9 quantile of a normal distribution in standard deviations. */
	private static final double CAUTIOUS_SIGMAS = 1.2816;

	/** The 0.9 quantile of a log-logistic distribution over its scale. */
	private static final double CAUTIOUS_LOGITS = Math.log(9);

	/** A distribution without any spread would let an overdue run end at once. */
	private static final double MIN_SCALE = 0.15;

	private static final double CAUTIOUS_SHARE = 0.9;

	private static final double MEDIAN_SHARE = 0.5;

	private static final double MAX_MILLIS = 7 * 24 * 3600 * 1000.0;

	private final LearnedRunTimes runTimes;

	private final WorkerSpeeds speeds;

	private final RunTracks tracks;

	LearnedForecast(LearnedRunTimes runTimes, WorkerSpeeds speeds, RunTracks tracks) {
		this.runTimes = runTimes;
		this.speeds = speeds;
		this.tracks = tracks;
	}

	@Override
	public long totalMillis(RunClass runClass, long estimatedMillis, Quantile quantile) {
		double x = LearnedRunTimes.logEstimate(estimatedMillis);
		double expected = this.runTimes.expect(runClass, x);
		double tail = (quantile == Quantile.CAUTIOUS) ? this.runTimes.tail(runClass) : 0;
		if (expected == x && tail == 0) {
			return Math.max(0, estimatedMillis);
		}
		return Math.round(Math.min(MAX_MILLIS, Math.exp(expected + tail)));
	}

	@Override
	public long remainingMillis(TaskId task, int run, RunClass runClass, long estimatedMillis, int percent,
			Quantile quantile) {
		RunTrack track = this.tracks.find(task, run);
		double left = Math.max(MIN_LEFT_PERCENT, WHOLE_PERCENT - Math.clamp(percent, 0, (int) WHOLE_PERCENT))
				/ WHOLE_PERCENT;
		double remaining;
		if (track == null || track.over()) {
			remaining = totalMillis(runClass, estimatedMillis, quantile) * left;
		}
		else if (track.unpacedMillis() > 0) {
			remaining = remainingBeyond(track, quantile);
		}
		else {
			remaining = Math.exp(track.estimate((quantile == Quantile.CAUTIOUS) ? CAUTIOUS_SIGMAS : 0)) * left;
		}
		return Math.round(Math.clamp(remaining, MIN_REMAINING_MILLIS, MAX_MILLIS));
	}

	// The run time is taken to have a log-logistic distribution, of which the part beyond
	// an age is easily computed, and which allows for stragglers.
	private static double remainingBeyond(RunTrack track, Quantile quantile) {
		double age = track.unpacedMillis();
		double median = Math.exp(track.estimate(0));
		double scale = Math.max(MIN_SCALE, CAUTIOUS_SIGMAS * track.step().logSpread() / CAUTIOUS_LOGITS);
		double share = (quantile == Quantile.CAUTIOUS) ? CAUTIOUS_SHARE : MEDIAN_SHARE;
		double odds = (1 + Math.pow(age / median, 1 / scale)) / (1 - share) - 1;
		return median * Math.pow(odds, scale) - age;
	}

	@Override
	public double speed(WorkerIncarnation worker) {
		return this.speeds.speed(worker.worker());
	}

}
