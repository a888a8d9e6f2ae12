package io.verbenatrack.fleet.forecast;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;

/**
 * Workers with given speeds that report to an observer every 200 ms.
 */
final class ObservedFleet {

	static final RunClass BATCH = new RunClass("batch", new AccountId("account"));

	static final long REPORT_MILLIS = 200;

	FleetState state = new FleetState();

	RunObserver observer;

	final double[] speeds;

	final Map<TaskId, Run> running = new LinkedHashMap<>();

	final List<FleetCommand> summaries = new ArrayList<>();

	long nowMillis = 1000;

	private final long[] reports;

	private long term;

	private long sequence;

	private int jobs;

	private long ends;

	ObservedFleet(int workers) {
		this.speeds = new double[workers];
		Arrays.fill(this.speeds, 1);
		this.reports = new long[workers];
		changeLeader();
	}

	void changeLeader() {
		this.term++;
		this.sequence = 0;
		this.observer = new RunObserver(this.state, nanos());
	}

	/** Starts the leader of a replica that has only the snapshot. */
	void restoreFromSnapshot() throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		new FleetCodec().snapshot(this.state, output);
		this.state = new FleetState();
		new FleetCodec().restore(this.state, new ByteArrayInputStream(output.toByteArray()));
		changeLeader();
	}

	long nanos() {
		return Duration.ofMillis(this.nowMillis).toNanos();
	}

	void commit(FleetCommand... commands) {
		if (!this.state.apply(new FleetBatch(this.term, ++this.sequence, List.of(commands)))) {
			throw new IllegalStateException("The state rejected a batch.");
		}
	}

	/**
	 * Starts a job with one task on each worker given.
	 * @return the first task
	 */
	TaskId start(boolean gang, long estimate, double workMillis, int... workers) {
		int job = ++this.jobs;
		StepSpec spec = new StepSpec(workers.length, new Resources(1, 1, 0), estimate, List.of(), gang, gang,
				Optional.empty(), Optional.empty(), 0, false, false, false);
		commit(new FleetCommand.AcceptJob(Fixtures.job(job), BATCH.queue(), BATCH.account(), Fixtures.plan(spec), 0));
		for (int index = 0; index < workers.length; index++) {
			TaskId task = new TaskId(Fixtures.job(job), 0, 0, index);
			commit(new FleetCommand.StartRun(task, 1, Fixtures.incarnation(workers[index])));
			this.running.put(task, new Run(workers[index], workMillis, gang ? workers : new int[] { workers[index] }));
			this.observer.recordStart(task, 1, Fixtures.incarnation(workers[index]), nanos());
		}
		return new TaskId(Fixtures.job(job), 0, 0, 0);
	}

	void advance(long millis) {
		for (long end = this.nowMillis + millis; this.nowMillis < end;) {
			this.nowMillis += REPORT_MILLIS;
			this.running.values().forEach((run) -> run.advance(this.speeds));
			for (int worker = 0; worker < this.speeds.length; worker++) {
				report(worker);
			}
			this.observer.summary(nanos()).ifPresent((summary) -> {
				this.summaries.add(summary);
				commit(summary);
			});
		}
	}

	private void report(int worker) {
		List<ReportedRun> reported = new ArrayList<>();
		List<ReportedEnd> ended = new ArrayList<>();
		this.running.forEach((task, run) -> {
			if (run.worker == worker && run.percent() < 100) {
				reported.add(new ReportedRun(task, 1, "", run.percent()));
			}
			else if (run.worker == worker) {
				ended.add(new ReportedEnd(++this.ends, task, 1, RunOutcome.DONE, ""));
			}
		});
		this.observer.observe(
				Fixtures.report(Fixtures.incarnation(worker), ++this.reports[worker], false, reported, ended), nanos());
		for (ReportedEnd end : ended) {
			commit(new FleetCommand.EndRun(end.task(), 1, Fixtures.incarnation(worker), RunOutcome.DONE, ""));
			this.running.remove(end.task());
		}
	}

	double speed(int worker) {
		return this.observer.forecast().speed(Fixtures.incarnation(worker));
	}

	long total(long estimate) {
		return this.observer.forecast().totalMillis(BATCH, estimate, Quantile.MEDIAN);
	}

	long remaining(TaskId task, long estimate) {
		return this.observer.forecast()
			.remainingMillis(task, 1, BATCH, estimate, this.running.get(task).percent(), Quantile.MEDIAN);
	}

	WorkerIncarnation incarnation(int worker) {
		return Fixtures.incarnation(worker);
	}

	/** A run in progress. */
	static final class Run {

		private final int worker;

		private final int[] members;

		private final double workMillis;

		private double doneMillis;

		Run(int worker, double workMillis, int[] members) {
			this.worker = worker;
			this.workMillis = workMillis;
			this.members = members;
		}

		void advance(double[] speeds) {
			double slowest = Double.MAX_VALUE;
			for (int member : this.members) {
				slowest = Math.min(slowest, speeds[member]);
			}
			this.doneMillis += REPORT_MILLIS * slowest;
		}

		int percent() {
			return (int) Math.min(100, 100 * this.doneMillis / this.workMillis);
		}

	}

}
