package io.verbenatrack.fleet.forecast;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;

/**
 * Learns run times and worker speeds from the reports of the workers during one term of a
 * leader. Not thread-safe.
 *
 * <p>
 * Every half second it compares the paces of all runs in progress with each other: the
 * runs of a step tell the run time of its tasks, and the deviation of a run from it tells
 * the speed of its worker.
 */
public final class RunObserver {

	private static final long SWEEP_INTERVAL_NANOS = 500_000_000L;

	private static final long IGNORED_EVENT_INTERVAL_NANOS = 60_000_000_000L;

	/** The progress in percent from which on a run in progress counts as a sample. */
	private static final int MIN_OPEN_PERCENT = 15;

	/** A ratio with this variance counts half. */
	private static final double HALF_WEIGHT_VARIANCE = 0.04;

	/**
	 * Workers whose logarithms of the speed differ by less may each be the slower one.
	 */
	private static final double ALIKE = 0.15;

	/** The run time of a gang is known from other gangs only, with their own speeds. */
	private static final double GANG_WEIGHT = 0.3;

	/** A member of a gang with a smaller share in its pace does not count. */
	private static final double MIN_SHARE = 0.05;

	private final FleetState state;

	private final LearnedRunTimes runTimes = new LearnedRunTimes();

	private final WorkerSpeeds speeds = new WorkerSpeeds();

	private final RunTracks tracks;

	private final RunForecast forecast;

	private final SummaryWriter summaries;

	private final List<ForecastEvent> events = new ArrayList<>();

	/** The runs of the report at hand. */
	private final List<RunTrack> reported = new ArrayList<>();

	private double[] scratch = new double[256];

	private long sweptNanos;

	private long ignoredValues;

	private Optional<ForecastEvent.ValuesIgnored> firstIgnored = Optional.empty();

	private long ignoredEventNanos;

	/**
	 * Creates the observer for a term, which continues from the recorded run times.
	 * @param state the replicated state
	 * @param nowNanos the start of the term in nanoseconds of the monotonic clock
	 */
	public RunObserver(FleetState state, long nowNanos) {
		this.state = state;
		this.tracks = new RunTracks(state, this.runTimes, this.speeds);
		this.forecast = new LearnedForecast(this.runTimes, this.speeds, this.tracks);
		this.summaries = new SummaryWriter(this.runTimes, this.speeds, state.runTimes(), nowNanos);
		this.sweptNanos = nowNanos;
		this.ignoredEventNanos = nowNanos - IGNORED_EVENT_INTERVAL_NANOS;
		this.runTimes.restore(state.runTimes().classes());
		this.speeds.restore(state.runTimes().speeds(), nowNanos);
	}

	/**
	 * Returns the forecast from what was observed, which changes with each observation.
	 * @return the forecast
	 */
	public RunForecast forecast() {
		return this.forecast;
	}

	/**
	 * Records that a start is sent to a worker.
	 * @param task the task
	 * @param run the run number
	 * @param incarnation the incarnation of the worker
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	public void recordStart(TaskId task, int run, WorkerIncarnation incarnation, long nowNanos) {
		this.tracks.findOrBegin(task, run, this.speeds.model(incarnation.worker()), nowNanos);
	}

	/**
	 * Learns from a followed report, before the ends in it are committed.
	 * @param report the report
	 * @param nowNanos the time of arrival in nanoseconds of the monotonic clock
	 */
	public void observe(WorkerReport report, long nowNanos) {
		Map<TaskId, Integer> known = this.state.runsOn(report.life());
		WorkerModel worker = this.speeds.seen(report);
		this.reported.clear();
		for (ReportedRun run : report.running()) {
			if (Integer.valueOf(run.run()).equals(known.get(run.task()))) {
				RunTrack track = this.tracks.findOrBegin(run.task(), run.run(), worker, 0);
				if (track != null && !track.over()) {
					observe(track, run, nowNanos);
				}
			}
		}
		for (ReportedEnd end : report.ended()) {
			if (Integer.valueOf(end.run()).equals(known.get(end.task()))) {
				RunTrack track = this.tracks.find(end.task(), end.run());
				if (track != null && !track.over()) {
					end(track, end, nowNanos);
				}
			}
		}
		double change = worker.window().check(this.reported, worker, nowNanos);
		if (change != 0) {
			changeSpeed(worker, change, nowNanos);
		}
		if (nowNanos - this.sweptNanos >= SWEEP_INTERVAL_NANOS) {
			sweep(nowNanos);
		}
	}

	private void observe(RunTrack track, ReportedRun run, long nowNanos) {
		if (track.progress(run.percent(), nowNanos)) {
			this.reported.add(track);
		}
		else {
			ignore(track.worker(), "percent " + run.percent() + " after " + track.percent());
		}
	}

	private void ignore(WorkerModel worker, String example) {
		this.ignoredValues++;
		if (this.firstIgnored.isEmpty()) {
			this.firstIgnored = Optional.of(new ForecastEvent.ValuesIgnored(1, worker.worker(), example));
		}
	}

	private void end(RunTrack track, ReportedEnd end, long nowNanos) {
		RunTracks.together(track).forEach(RunTrack::markOver);
		StepTrack step = track.step();
		if (end.how() != RunOutcome.DONE || (step.gang() && !step.markSampled())) {
			return;
		}
		step.updateGang();
		double observed = track.observedMillis(nowNanos);
		double work = track.observedWorkMillis(nowNanos);
		if (track.remote() || Double.isNaN(observed)) {
			return;
		}
		if (!LearnedRunTimes.plausible(observed) || !LearnedRunTimes.plausible(work)) {
			ignore(track.worker(), "run time " + observed + " ms");
			return;
		}
		if (!step.gang()) {
			step.addDone(track.worker(), Math.log(observed));
		}
		if (track.anchored()) {
			compare(track, Math.log(observed), 0, nowNanos, true);
		}
		this.runTimes.add(step.runClass(), step.logEstimate(), Math.log(work), step.prediction(), step.sampleWeight());
	}

	private void changeSpeed(WorkerModel worker, double change, long nowNanos) {
		for (RunTrack run : this.reported) {
			double before = run.logSpeed();
			RunTracks.together(run).forEach((member) -> member.restartPace(before));
		}
		worker.change(change, nowNanos);
		worker.window().clear();
		this.reported.forEach((run) -> {
			run.step().updateGang();
			run.discardEstimate();
		});
	}

	private void sweep(long nowNanos) {
		this.sweptNanos = nowNanos;
		this.tracks.removeStale();
		this.runTimes.clearOpen();
		if (this.scratch.length < this.tracks.size() + StepTrack.MAX_DONE) {
			this.scratch = new double[2 * this.tracks.size() + StepTrack.MAX_DONE];
		}
		this.tracks.steps().forEach((step) -> {
			step.updateGang();
			step.updateTotal(this.scratch);
			addOpenSamples(step);
			compareRuns(step, nowNanos);
		});
		this.speeds.update(nowNanos);
		this.speeds.anchor();
		this.tracks.steps().forEach((step) -> step.runs().forEach(RunTrack::discardEstimate));
		this.runTimes.decideUse(nowNanos, this.events);
		this.speeds.report(this.events);
		if (this.ignoredValues > 0 && nowNanos - this.ignoredEventNanos >= IGNORED_EVENT_INTERVAL_NANOS) {
			this.firstIgnored.ifPresent((first) -> this.events
				.add(new ForecastEvent.ValuesIgnored(this.ignoredValues, first.worker(), first.example())));
			this.ignoredEventNanos = nowNanos;
			this.ignoredValues = 0;
			this.firstIgnored = Optional.empty();
		}
	}

	private void addOpenSamples(StepTrack step) {
		long runs = step.runs().stream().filter((run) -> run.paced() && !run.remote() && !run.over()).count();
		boolean ripe = step.runs().stream().anyMatch((run) -> run.percent() >= MIN_OPEN_PERCENT);
		if (runs > 0 && ripe && LearnedRunTimes.plausible(Math.exp(step.pacedTotal()))) {
			this.runTimes.addOpen(step.runClass(), step.logEstimate(), step.pacedTotal(),
					step.gang() ? 1 : runs * step.sampleWeight());
		}
	}

	private void compareRuns(StepTrack step, long nowNanos) {
		for (RunTrack run : step.runs()) {
			if (run.paced() && !run.over() && !run.remote()) {
				compare(run, run.logPace(), run.paceVariance(), nowNanos, false);
				if (step.gang()) {
					return;
				}
			}
		}
	}

	// A step whose run time is known from its own runs tells the speed of a worker best.
	private void compare(RunTrack run, double logObserved, double variance, long nowNanos, boolean over) {
		StepTrack step = run.step();
		boolean bySiblings = !step.gang() && step.known();
		if (!bySiblings && !this.runTimes.known(step.runClass())) {
			return;
		}
		double expected = bySiblings ? step.logTotal() : this.runTimes.expect(step.runClass(), step.logEstimate());
		double spread = bySiblings ? step.logSpread() : this.runTimes.spread(step.runClass());
		double weight = HALF_WEIGHT_VARIANCE / (HALF_WEIGHT_VARIANCE + spread * spread + variance);
		double ratio = expected - logObserved;
		if (!step.gang()) {
			add(run.worker(), ratio, weight, nowNanos, over);
		}
		else {
			compareGang(step, ratio, GANG_WEIGHT * weight, nowNanos, over);
		}
	}

	// The slowest member determines the pace of a gang, so the others count less the
	// faster they are.
	private static void compareGang(StepTrack step, double ratio, double weight, long nowNanos, boolean over) {
		double slowest = step.slowest().logSpeed();
		double total = 0;
		for (WorkerModel worker : step.gangWorkers()) {
			total += Math.exp((slowest - worker.logSpeed()) / ALIKE);
		}
		for (WorkerModel worker : step.gangWorkers()) {
			double share = Math.exp((slowest - worker.logSpeed()) / ALIKE) / total;
			if (share > MIN_SHARE) {
				add(worker, ratio, weight * share, nowNanos, over);
			}
		}
	}

	private static void add(WorkerModel worker, double ratio, double weight, long nowNanos, boolean over) {
		if (over) {
			worker.addPast(ratio, weight, nowNanos);
		}
		else {
			worker.addOpen(ratio, weight);
		}
	}

	/**
	 * Decides what of the learned values is recorded now.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the command, or empty when there is nothing to record yet
	 */
	public Optional<FleetCommand> summary(long nowNanos) {
		return this.summaries.next(nowNanos);
	}

	/**
	 * Returns the number of runs in progress that are observed.
	 * @return the number of runs
	 */
	public int openRuns() {
		return this.tracks.size();
	}

	/**
	 * Returns and clears the events since the last call.
	 * @return the events
	 */
	public List<ForecastEvent> drainEvents() {
		List<ForecastEvent> drained = List.copyOf(this.events);
		this.events.clear();
		return drained;
	}

}
