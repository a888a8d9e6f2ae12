package io.verbenatrack.fleet.forecast;

import java.util.List;

/**
 * Notices that a worker becomes slower or faster while it runs tasks: their progress in a
 * short window is compared with their own earlier paces, so that a task which always was
 * slow does not count.
 */
final class SpeedWindow {

	private static final long MIN_NANOS = 400_000_000L;

	/** Gangs may be held up elsewhere, so single runs are waited for up to this time. */
	private static final long GANG_NANOS = 1_000_000_000L;

	private static final long MAX_NANOS = 3_000_000_000L;

	/** Whole percents make a window with less expected progress too inexact. */
	private static final double MIN_EXPECTED = 6;

	/** The logarithm of 1.7: well above the error of a window. */
	private static final double MIN_CHANGE = 0.53;

	/** Share of the expected progress whose runs changed alike. */
	private static final double MIN_AGREEING = 0.6;

	private static final double SLOWER = 0.75;

	private static final double FASTER = 1.33;

	/** Fewer expected percent do not show that a worker is as fast as before. */
	private static final double MIN_KEPT = 1.5;

	private static final double PERCENT_ERROR = 0.5;

	/** Added to both sides, so that a standstill is a large change and not infinite. */
	private static final double OFFSET = 0.3;

	private long startNanos;

	private int windowsInRow;

	/** When a window last showed no change. */
	private long normalNanos;

	/** Whether only gangs run on the worker and they have become slower. */
	private boolean suspect;

	void clear() {
		this.startNanos = 0;
		this.windowsInRow = 0;
		this.suspect = false;
	}

	/**
	 * Compares the progress of the runs on a worker with their earlier paces.
	 * @param runs the runs in the report of the worker
	 * @param worker the worker
	 * @param nowNanos the time of the report
	 * @return the logarithm of the factor by which the worker became faster, 0 for none
	 */
	double check(List<RunTrack> runs, WorkerModel worker, long nowNanos) {
		if (this.startNanos == 0 || nowNanos - this.startNanos > 2 * MAX_NANOS) {
			begin(runs, nowNanos);
			return 0;
		}
		long elapsed = nowNanos - this.startNanos;
		if (elapsed < MIN_NANOS) {
			return 0;
		}
		Sum single = sum(runs, false, nowNanos);
		Sum gangs = sum(runs, true, nowNanos);
		if (single.runs > 0 && single.expected < MIN_EXPECTED && elapsed < GANG_NANOS) {
			return 0;
		}
		Sum used = (single.expected >= MIN_EXPECTED || gangs.runs == 0) ? single : gangs;
		if (used.runs == 0) {
			begin(runs, nowNanos);
			return 0;
		}
		if (used.expected < MIN_EXPECTED && elapsed < MAX_NANOS) {
			return 0;
		}
		long windowStart = this.startNanos;
		begin(runs, nowNanos);
		double change = used.change();
		if (Math.abs(change) < MIN_CHANGE || used.agreeing(change) < MIN_AGREEING) {
			this.windowsInRow = 0;
			this.suspect = false;
			this.normalNanos = nowNanos;
			return 0;
		}
		if (used == gangs && change < 0 && single.keepsPace()) {
			this.normalNanos = nowNanos;
			return 0;
		}
		this.windowsInRow++;
		if (used == gangs) {
			return gangChange(runs, worker, change, windowStart);
		}
		int agreeing = used.runs + ((gangs.runs > 0 && gangs.agreeing(change) > 0) ? 1 : 0);
		return (agreeing > 1 || this.windowsInRow > 1) ? change : 0;
	}

	// A gang that slows down does not tell which of its members is at fault. It is this
	// worker if no other one, of which a change cannot be ruled out, is in all of them.
	private double gangChange(List<RunTrack> runs, WorkerModel worker, double change, long windowStart) {
		if (change > 0) {
			boolean slowest = runs.stream()
				.filter((run) -> run.step().gang())
				.allMatch((run) -> run.step().slowest() == worker);
			return slowest ? change : 0;
		}
		this.suspect = true;
		List<WorkerModel> suspects = null;
		for (RunTrack run : runs) {
			List<WorkerModel> members = run.step().gangWorkers();
			if (suspects == null) {
				suspects = members.stream()
					.filter((other) -> other != worker && !other.window().normalSince(windowStart))
					.toList();
			}
			else {
				suspects = suspects.stream().filter(members::contains).toList();
			}
		}
		return (suspects == null || suspects.isEmpty()) ? change : 0;
	}

	private boolean normalSince(long sinceNanos) {
		return !this.suspect && this.normalNanos - sinceNanos > 0;
	}

	private void begin(List<RunTrack> runs, long nowNanos) {
		this.startNanos = nowNanos;
		for (RunTrack run : runs) {
			run.beginWindow(nowNanos);
		}
	}

	private static Sum sum(List<RunTrack> runs, boolean gang, long nowNanos) {
		Sum sum = new Sum();
		for (RunTrack run : runs) {
			double expected = (run.step().gang() == gang) ? run.expectedInWindow(nowNanos) : 0;
			if (expected > 0) {
				sum.add(expected, run.gainedInWindow());
			}
		}
		return sum;
	}

	private static final class Sum {

		private int runs;

		private double expected;

		private double gained;

		private double slower;

		private double faster;

		void add(double percent, int progress) {
			this.runs++;
			this.expected += percent;
			this.gained += progress;
			if (progress < SLOWER * percent) {
				this.slower += percent;
			}
			if (progress > FASTER * percent) {
				this.faster += percent;
			}
		}

		// Whether the runs progress as before, as far as few percent can tell.
		boolean keepsPace() {
			return this.expected >= MIN_KEPT && this.gained + PERCENT_ERROR > SLOWER * (this.expected + PERCENT_ERROR);
		}

		double change() {
			return Math.log((this.gained + OFFSET) / (this.expected + OFFSET));
		}

		double agreeing(double change) {
			return ((change < 0) ? this.slower : this.faster) / this.expected;
		}

	}

}
