package io.verbenatrack.bench.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

/**
 * Simulated worker on a virtual clock. It stops its runs when its lease expires, reports
 * the end of a run until the leader acknowledges it, and refuses runs that exceed its
 * resources.
 */
final class SimulatedWorker {

	private static final long MINIMUM_STAY_MILLIS = 2000;

	private final String rack;

	private final ZoneId zone;

	private final Resources capacity;

	private final RunStatistics statistics;

	private final GangMembers members;

	private final double baseSlowdown;

	private final Map<TaskId, SimulatedRun> runs = new LinkedHashMap<>();

	private final List<ReportedEnd> ends = new ArrayList<>();

	private WorkerIncarnation incarnation;

	private double lostCoreSeconds;

	private long sequence;

	private long endNumber;

	private long nextReportMillis;

	private long leaseEndMillis;

	/** Slowdown factor of its tasks, 0 while they make no progress. */
	double slowdown = 1;

	boolean failing;

	boolean unresponsive;

	boolean draining;

	SimulatedWorker(int number, int zone, String rack, FleetConditions conditions, RunStatistics statistics,
			GangMembers members) {
		this.members = members;
		this.baseSlowdown = conditions.speeds().slowdown(number, zone);
		this.incarnation = new WorkerIncarnation(new WorkerId("worker-" + number), 1);
		this.rack = rack;
		this.zone = new ZoneId("zone-" + zone);
		this.capacity = conditions.capacity();
		this.statistics = statistics;
	}

	double speed() {
		return (this.slowdown > 0) ? 1 / (this.slowdown * this.baseSlowdown) : 0;
	}

	String rack() {
		return this.rack;
	}

	double lostCoreSeconds() {
		return this.lostCoreSeconds;
	}

	Map<TaskId, SimulatedRun> runs() {
		return this.runs;
	}

	boolean reports(long nowMillis) {
		return !this.unresponsive && nowMillis >= this.nextReportMillis;
	}

	WorkerReport report() {
		List<ReportedRun> running = this.runs.values()
			.stream()
			.map((run) -> new ReportedRun(run.task, run.run, run.checkpoint(), run.percent()))
			.toList();
		return new WorkerReport(this.incarnation, "host-" + this.incarnation.worker() + ":1", new ServiceId("service"),
				this.zone, this.rack, Set.of("a", this.rack), this.capacity, this.draining, MINIMUM_STAY_MILLIS,
				++this.sequence, running, this.ends);
	}

	void receive(HeartbeatResponse orders, long nowMillis, SimulatedRun.Factory factory) {
		if (orders.leaseMillis() > 0) {
			this.leaseEndMillis = nowMillis + orders.leaseMillis();
		}
		this.ends.removeIf((end) -> end.number() <= orders.takenNote());
		for (HeartbeatResponse.Stop stop : orders.stops()) {
			SimulatedRun run = this.runs.get(stop.task());
			if (run != null && run.run == stop.run()) {
				end(run, RunOutcome.STOPPED);
			}
		}
		for (HeartbeatResponse.Start start : orders.starts()) {
			start(factory.create(start, this, nowMillis));
		}
		this.nextReportMillis = nowMillis + orders.retryMillis();
	}

	private void start(SimulatedRun run) {
		if (this.runs.containsKey(run.task)) {
			return;
		}
		Resources used = this.runs.values()
			.stream()
			.map((other) -> other.resources)
			.reduce(Resources.NONE, Resources::plus);
		if (!run.resources.fitsIn(this.capacity.minus(used))) {
			this.ends.add(new ReportedEnd(++this.endNumber, run.task, run.run, RunOutcome.REFUSED, ""));
			return;
		}
		this.runs.put(run.task, run);
		this.members.add(run, this);
		this.statistics.addStart();
	}

	/**
	 * Restarts the worker after a loss of power: its runs and its reports are lost.
	 * @param nowMillis the time of the loss in milliseconds
	 * @param downMillis how long the worker is down, in milliseconds
	 */
	void restart(long nowMillis, long downMillis) {
		this.runs.values().forEach((run) -> {
			this.members.remove(run, this);
			this.lostCoreSeconds += run.unsavedCoreSeconds();
			this.statistics.addEnd(RunOutcome.LOST);
		});
		this.runs.clear();
		this.ends.clear();
		this.incarnation = new WorkerIncarnation(this.incarnation.worker(), this.incarnation.bornMillis() + nowMillis);
		this.sequence = 0;
		this.endNumber = 0;
		this.nextReportMillis = nowMillis + downMillis;
	}

	void end(SimulatedRun run, RunOutcome outcome) {
		this.runs.remove(run.task);
		this.members.remove(run, this);
		this.statistics.addEnd(outcome);
		this.lostCoreSeconds += (outcome != RunOutcome.DONE) ? run.unsavedCoreSeconds() : 0;
		String checkpoint = (outcome != RunOutcome.DONE) ? run.checkpoint() : "";
		this.ends.add(new ReportedEnd(++this.endNumber, run.task, run.run, outcome, checkpoint));
	}

	void scheduleReport(long nowMillis, long delayMillis) {
		this.nextReportMillis = Math.min(this.nextReportMillis, nowMillis + delayMillis);
	}

	void checkLease(long nowMillis) {
		if (nowMillis > this.leaseEndMillis) {
			List.copyOf(this.runs.values()).forEach((run) -> end(run, RunOutcome.LAPSED));
		}
	}

}
