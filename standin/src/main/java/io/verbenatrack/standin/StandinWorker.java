package io.verbenatrack.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.WorkerSpec;

/**
 * A stand-in worker, which simulates gang members by waiting for their run time.
 *
 * <p>
 * Calls with a fencing token lower than the highest one received for the job are refused,
 * so that a member runs under one lease at a time. Reports are queued in order until an
 * instance has recorded them.
 */
public final class StandinWorker {

	private static final int MAXIMUM_REPORTS_PER_CALL = 200;

	private final WorkerSpec spec;

	private final WorkDurations durations;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private final Map<String, Member> members = new HashMap<>();

	private final Map<String, Long> highestTokens = new HashMap<>();

	private final Map<String, Duration> checkpoints = new HashMap<>();

	private final Queue<MemberReportBody> reports = new ArrayDeque<>();

	private int starts;

	private int reportsInFlight;

	/**
	 * Creates an idle worker.
	 * @param spec the announced properties of the worker
	 * @param durations the actual durations of work
	 * @param timer schedules the end of the work
	 * @param clock the clock that measures elapsed run time
	 */
	public StandinWorker(WorkerSpec spec, WorkDurations durations, ScheduledExecutorService timer,
			MonotonicClock clock) {
		this.spec = spec;
		this.durations = durations;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Returns the announced properties of this worker.
	 * @return the worker specification
	 */
	public WorkerSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the number of gang members that this worker has started.
	 * @return the count since it was created
	 */
	public synchronized int starts() {
		return this.starts;
	}

	/**
	 * Executes an action.
	 * @param call the call that requests the action
	 * @return the highest token of the job when the call has a lower one, otherwise 0
	 */
	synchronized long execute(MemberCall call) {
		long highestToken = this.highestTokens.getOrDefault(call.job(), 0L);
		if (call.token() < highestToken) {
			return highestToken;
		}
		if (call.token() > highestToken) {
			this.highestTokens.put(call.job(), call.token());
			discard(call.job());
		}
		switch (call.action()) {
			case "prepare" -> prepare(call);
			case "start" -> start(call);
			case "checkpoint" -> checkpoint(call);
			case "stop" -> stop(call);
			default -> throw new IllegalArgumentException(
					"action is '" + call.action() + "'. Use prepare, start, checkpoint or stop.");
		}
		return 0;
	}

	private void prepare(MemberCall call) {
		this.members.computeIfAbsent(call.job(), (job) -> new Member(call));
		report(call, "prepared");
	}

	private void start(MemberCall call) {
		Member member = this.members.get(call.job());
		if (member == null) {
			report(call, "failed");
			return;
		}
		if (member.work == null) {
			Duration runTime = this.durations.runTime(call.job(), Duration.ofMillis(call.runTimeMs()));
			Duration remaining = runTime.minus(this.checkpoints.getOrDefault(call.job(), Duration.ZERO));
			member.startedNanos = this.clock.nanoTime();
			member.work = this.timer.schedule(() -> finish(call), Math.max(0, remaining.toNanos()),
					TimeUnit.NANOSECONDS);
			this.starts++;
		}
		report(call, "started");
	}

	private synchronized void finish(MemberCall call) {
		Member member = this.members.get(call.job());
		if (member != null && member.token == call.token()) {
			this.members.remove(call.job());
			report(call, "finished");
		}
	}

	private void checkpoint(MemberCall call) {
		Member member = this.members.get(call.job());
		if (member == null || member.work == null) {
			return;
		}
		Duration elapsed = Duration.ofNanos(this.clock.nanoTime() - member.startedNanos);
		Duration checkpointedBefore = member.checkpointedBefore;
		this.checkpoints.put(call.job(), checkpointedBefore.plus(elapsed));
		long checkpointedMillis = this.checkpoints.get(call.job()).toMillis();
		this.reports
			.add(new MemberReportBody(call.job(), call.token(), "usage", checkpointedMillis, checkpointedMillis, 0));
		report(call, "checkpointed");
	}

	private void stop(MemberCall call) {
		discard(call.job());
		report(call, "stopped");
	}

	private void discard(String job) {
		Member member = this.members.remove(job);
		if (member != null && member.work != null) {
			member.work.cancel(false);
		}
	}

	private void report(MemberCall call, String report) {
		this.reports.add(MemberReportBody.of(call, report));
	}

	/**
	 * Returns the oldest unrecorded reports as a batch. Until {@link #endBatch} is
	 * called, further calls return an empty list, so that no report is removed as
	 * recorded in place of another.
	 * @return the reports in order, or empty when there are none or a batch is in flight
	 */
	synchronized List<MemberReportBody> takeBatch() {
		if (this.reportsInFlight > 0) {
			return List.of();
		}
		List<MemberReportBody> oldest = this.reports.stream().limit(MAXIMUM_REPORTS_PER_CALL).toList();
		this.reportsInFlight = oldest.size();
		return oldest;
	}

	synchronized void endBatch(boolean recorded) {
		for (int i = 0; recorded && i < this.reportsInFlight; i++) {
			this.reports.poll();
		}
		this.reportsInFlight = 0;
	}

	/**
	 * Stops all gang members after their lease has expired.
	 */
	synchronized void expireLease() {
		List.copyOf(this.members.keySet()).forEach(this::discard);
	}

	private final class Member {

		private final long token;

		private final Duration checkpointedBefore;

		private long startedNanos;

		private ScheduledFuture<?> work;

		private Member(MemberCall call) {
			this.token = call.token();
			this.checkpointedBefore = StandinWorker.this.checkpoints.getOrDefault(call.job(), Duration.ZERO);
		}

	}

}
