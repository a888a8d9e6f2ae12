package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.ServiceId;

/**
 * One incarnation of a worker that follows its protocol to the letter. All times are
 * milliseconds of the simulation.
 */
final class ModelWorker {

	/** Leases are shortened to this, on the clock of the worker. */
	static final long MAX_LEASE_MILLIS = 6000;

	/** A response that arrives later is dropped. */
	static final long RESPONSE_TIMEOUT_MILLIS = 1000;

	/** How much slower than true time the steady clock of a worker may run. */
	private static final double MAX_CLOCK_DRIFT = 0.02;

	private static final int FAILING_RUNS_OF_ALL = 10;

	private static final long GANG_TIMEOUT_MILLIS = 3000;

	private static final long MAX_STOP_MILLIS = 500;

	private static final int WHOLE_PERCENT = 100;

	final WorkerIncarnation incarnation;

	final String address;

	/** Share of the true speed at which the steady clock runs. */
	private final double clockRate;

	/** The maximum number of ends in a report. */
	private final int maxListedEnds;

	private final Random random;

	private final ModelFleet fleet;

	private final LongSupplier clock;

	private final Map<TaskId, Run> running = new LinkedHashMap<>();

	/** The highest run of a task that was stopped or ended here. */
	private final Map<TaskId, Integer> highestPast = new HashMap<>();

	private final List<End> unacknowledged = new ArrayList<>();

	private final List<Long> lapses = new ArrayList<>();

	private long lastEndNumber;

	private long lastSequence;

	private long fence;

	private long leaseEndMillis;

	private boolean holdsLease;

	boolean up = true;

	boolean draining;

	/** While the worker is sick, its runs stand still. */
	boolean sick;

	/** Until this time no report of the worker arrives. */
	long cutOutUntilMillis;

	/** Until this time no response arrives at the worker. */
	long cutInUntilMillis;

	/** Number of the report whose response is outstanding, 0 for none. */
	long outstanding;

	long sentMillis;

	long nextReportMillis;

	ModelWorker(WorkerIncarnation incarnation, String address, int maxListedEnds, Random random, ModelFleet fleet,
			LongSupplier clock) {
		this.incarnation = incarnation;
		this.address = address;
		this.maxListedEnds = maxListedEnds;
		this.random = random;
		this.fleet = fleet;
		this.clock = clock;
		this.clockRate = 1 - MAX_CLOCK_DRIFT * random.nextDouble();
	}

	WorkerReport report() {
		List<ReportedRun> runs = new ArrayList<>();
		this.running.forEach((task, run) -> runs.add(new ReportedRun(task, run.number, "", percent(run))));
		List<ReportedEnd> ends = this.unacknowledged.stream()
			.limit(this.maxListedEnds)
			.map((end) -> new ReportedEnd(end.number, end.task, end.run, end.how, ""))
			.toList();
		this.outstanding = ++this.lastSequence;
		return reportOf(this.incarnation, this.fleet.operators().service(this.address), this.lastSequence, runs, ends);
	}

	WorkerReport reportOf(WorkerIncarnation sender, ServiceId service, long number, List<ReportedRun> runs,
			List<ReportedEnd> ends) {
		return new WorkerReport(sender, this.address, service, ModelEvacuations.zone(this.address), "rack-1",
				Set.of("a", "rack-1"), Fixtures.WORKER_ROOM, this.draining, 2000, number, runs, ends);
	}

	boolean cutOut(long nowMillis) {
		return nowMillis < this.cutOutUntilMillis;
	}

	void answered(long sequence, long retryMillis) {
		if (this.outstanding == sequence) {
			this.outstanding = 0;
			boolean news = this.unacknowledged.stream().anyMatch((end) -> end.atMillis >= this.sentMillis);
			this.nextReportMillis = this.clock.getAsLong() + (news ? 50 : retryMillis);
		}
	}

	boolean settled() {
		return !this.up || (this.running.isEmpty() && this.unacknowledged.isEmpty());
	}

	void refused(long sequence) {
		answered(sequence, 100);
	}

	private int percent(Run run) {
		if (run.workMillis == 0) {
			return 0;
		}
		return (int) Math.min(WHOLE_PERCENT - 1, WHOLE_PERCENT * run.workedMillis / run.workMillis);
	}

	/**
	 * Handles a response.
	 * @param response the response
	 * @param sentMillis when the report was sent
	 */
	void receive(HeartbeatResponse response, long sentMillis) {
		long now = this.clock.getAsLong();
		if (!this.up || now - sentMillis > RESPONSE_TIMEOUT_MILLIS || response.fence() < this.fence) {
			return;
		}
		this.fence = response.fence();
		if (response.leaseMillis() > 0) {
			checkLease();
			long lease = Math.min(MAX_LEASE_MILLIS, response.leaseMillis());
			this.leaseEndMillis = Math.max(this.leaseEndMillis, sentMillis + (long) (lease / this.clockRate));
			this.holdsLease = true;
		}
		acknowledge(response.takenNote());
		response.stops().forEach((stop) -> stop(stop.task(), stop.run()));
		if (response.leaseMillis() > 0) {
			response.starts().forEach((start) -> start(start.task(), start.run()));
		}
	}

	private void acknowledge(long lastSeen) {
		this.unacknowledged.removeIf((end) -> {
			if (end.number > lastSeen) {
				return false;
			}
			boolean lapsedSince = this.lapses.stream().anyMatch((lapse) -> lapse >= end.atMillis);
			this.fleet.checker().acknowledged(end.task, end.run, end.how, end.atMillis, lapsedSince);
			return true;
		});
	}

	private void stop(TaskId task, int run) {
		Run current = this.running.get(task);
		if (current != null && current.number == run) {
			if (current.stopsAtMillis == 0) {
				current.stopsAtMillis = this.clock.getAsLong() + this.random.nextLong(MAX_STOP_MILLIS);
			}
		}
		else if (current == null) {
			this.highestPast.merge(task, run, Math::max);
		}
	}

	private void start(TaskId task, int number) {
		Run current = this.running.get(task);
		if (current != null && current.number == number) {
			return;
		}
		if (current != null || number <= this.highestPast.getOrDefault(task, 0) || !hasRoomFor(task)) {
			addEnd(task, number, RunOutcome.REFUSED);
			return;
		}
		StepSpec spec = this.fleet.jobs().spec(task);
		Run run = new Run(this, number, this.clock.getAsLong(), spec.gang());
		if (!spec.gang()) {
			run.begin(this.fleet.workMillis(), this.random.nextInt(FAILING_RUNS_OF_ALL) == 0);
		}
		this.running.put(task, run);
		this.fleet.operators().began(task, this, this.clock.getAsLong());
		this.fleet.checker().started(task, number, this, this.fleet.jobs().dependencies(task));
	}

	private boolean hasRoomFor(TaskId task) {
		int used = this.running.keySet()
			.stream()
			.mapToInt((other) -> this.fleet.jobs().spec(other).room().accelerators())
			.sum();
		return used + this.fleet.jobs().spec(task).room().accelerators() <= Fixtures.WORKER_ROOM.accelerators();
	}

	/**
	 * Lets a time pass in which nothing arrives.
	 * @param millis the time
	 */
	void run(long millis) {
		if (!this.up) {
			return;
		}
		checkLease();
		long now = this.clock.getAsLong();
		for (TaskId task : List.copyOf(this.running.keySet())) {
			Run run = this.running.get(task);
			if (run == null) {
				continue;
			}
			if (run.stopsAtMillis > 0 && now >= run.stopsAtMillis) {
				end(task, run, RunOutcome.STOPPED);
			}
			else if (run.gang && run.workMillis == 0) {
				waitForGang(task, run, now);
			}
			else if (!this.sick) {
				run.workedMillis += millis;
				if (run.workedMillis >= run.workMillis) {
					end(task, run, run.fails ? RunOutcome.FAILED : RunOutcome.DONE);
				}
			}
		}
	}

	private void waitForGang(TaskId task, Run run, long now) {
		List<Run> members = this.fleet.gangMembers(task, run.number);
		if (members.size() == this.fleet.jobs().spec(task).count()) {
			boolean fails = this.random.nextInt(FAILING_RUNS_OF_ALL) == 0;
			long work = this.fleet.workMillis();
			members.forEach((member) -> {
				member.begin(work, fails && member == run);
				this.fleet.operators().began(task, member.worker, now);
			});
		}
		else if (now - run.startedMillis > GANG_TIMEOUT_MILLIS) {
			end(task, run, RunOutcome.ALONE);
		}
	}

	// The members of a gang end done together, and otherwise break each other.
	private void end(TaskId task, Run run, RunOutcome how) {
		if (run.gang && run.workMillis > 0) {
			this.fleet.endOfMember(task, run.number, (how == RunOutcome.DONE) ? RunOutcome.DONE : RunOutcome.BROKEN);
		}
		finish(task, run, how);
	}

	void endOfOtherMember(TaskId task, int number, RunOutcome how) {
		Run run = this.running.get(task);
		if (this.up && run != null && run.number == number) {
			finish(task, run, how);
		}
	}

	private void finish(TaskId task, Run run, RunOutcome how) {
		this.running.remove(task);
		this.fleet.checker().ended(task, run.number, how, this);
		addEnd(task, run.number, how);
	}

	private void addEnd(TaskId task, int run, RunOutcome how) {
		long now = this.clock.getAsLong();
		this.highestPast.merge(task, run, Math::max);
		this.unacknowledged.add(new End(++this.lastEndNumber, task, run, how, now));
		this.nextReportMillis = Math.min(this.nextReportMillis, now + 50);
	}

	private void checkLease() {
		if (this.holdsLease && this.clock.getAsLong() >= this.leaseEndMillis) {
			this.holdsLease = false;
			this.lapses.add(this.clock.getAsLong());
			for (TaskId task : List.copyOf(this.running.keySet())) {
				Run run = this.running.get(task);
				if (run != null) {
					end(task, run, RunOutcome.LAPSED);
				}
			}
		}
	}

	/**
	 * Ends the process with all that runs on it.
	 */
	void crash() {
		for (TaskId task : List.copyOf(this.running.keySet())) {
			Run run = this.running.remove(task);
			if (run != null) {
				if (run.gang && run.workMillis > 0) {
					this.fleet.endOfMember(task, run.number, RunOutcome.BROKEN);
				}
				this.fleet.checker().ended(task, run.number, RunOutcome.LOST, this);
			}
		}
		this.up = false;
	}

	Run runOf(TaskId task) {
		return this.running.get(task);
	}

	/**
	 * A run in progress.
	 */
	static final class Run {

		final int number;

		private final ModelWorker worker;

		private final long startedMillis;

		private final boolean gang;

		private long workMillis;

		private long workedMillis;

		private long stopsAtMillis;

		private boolean fails;

		private Run(ModelWorker worker, int number, long startedMillis, boolean gang) {
			this.worker = worker;
			this.number = number;
			this.startedMillis = startedMillis;
			this.gang = gang;
		}

		private void begin(long millis, boolean willFail) {
			this.workMillis = millis;
			this.fails = willFail;
		}

	}

	private record End(long number, TaskId task, int run, RunOutcome how, long atMillis) {

	}

}
