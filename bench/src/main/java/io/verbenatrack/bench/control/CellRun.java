package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.List;

import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;

/**
 * Runs one cell of the fault matrix: waits until a replica enters the state, injects the
 * faults, and checks the expectation.
 */
final class CellRun {

	private static final long PROVOKED_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long LATEST_STRIKE_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long FAULT_NANOS = Duration.ofSeconds(4).toNanos();

	private static final long DISK_FULL_NANOS = Duration.ofMillis(1500).toNanos();

	private final FaultMatrix.Cell cell;

	private final Schedule schedule;

	private final SimulatedCluster cluster;

	private long strikeNanos = -1;

	private long acceptedBefore;

	CellRun(FaultMatrix.Cell cell, long seed) {
		this.cell = cell;
		this.schedule = new Schedule(seed, ScheduleShape.USUAL);
		this.cluster = this.schedule.cluster();
	}

	/**
	 * Runs the cell.
	 * @return the violations, empty if the cell passed
	 */
	List<String> run() {
		this.cluster.monitor().trigger(this::strikeWhenReached);
		this.cluster.time().after(PROVOKED_NANOS, this::provoke);
		this.schedule.begin();
		this.schedule.runUntil(LATEST_STRIKE_NANOS);
		if (this.strikeNanos < 0) {
			return List.of("no replica was " + this.cell.state());
		}
		this.schedule.runUntil(this.strikeNanos + FAULT_NANOS);
		boolean served = this.schedule.acceptedChanges() > this.acceptedBefore;
		if (this.cell.expectation() == FaultExpectation.SERVES && !served) {
			this.cluster.monitor().violate("no change was accepted while the fault lasted");
		}
		return this.schedule.finish().violations();
	}

	private void provoke() {
		SimulatedReplica leader = this.cluster.leader().orElse(this.cluster.replicas().get(0));
		switch (this.cell.state()) {
			case "pre-candidate", "candidate" -> this.schedule.faults().inject(FaultKind.RESTART, leader, FAULT_NANOS);
			case "handing-over" -> {
				leader.propose(ControlMachine.configurationCommand(this.schedule.probe()), (outcome) -> {
				});
				leader.handle(new ReplicaEvent.HandOverRequested());
			}
			case "faulted" -> this.schedule.faults().inject(FaultKind.DISK_FULL, leader, DISK_FULL_NANOS);
			default -> {
			}
		}
	}

	private void strikeWhenReached(SimulatedReplica replica) {
		boolean unformed = this.cell.state().equals(ReplicaRole.UNFORMED.chartName());
		boolean due = unformed || this.cluster.time().nowNanos() >= PROVOKED_NANOS;
		if (this.strikeNanos >= 0 || !due || !replica.core().role().chartName().equals(this.cell.state())) {
			return;
		}
		this.strikeNanos = this.cluster.time().nowNanos();
		this.cluster.time().after(0, () -> strike(replica));
	}

	private void strike(SimulatedReplica replica) {
		this.acceptedBefore = this.schedule.acceptedChanges();
		List<SimulatedReplica> replicas = this.cluster.replicas();
		for (int i = 0; i < this.cell.faults().size(); i++) {
			SimulatedReplica victim = replicas.get((replicas.indexOf(replica) + i) % replicas.size());
			this.schedule.faults().inject(this.cell.faults().get(i), victim, FAULT_NANOS);
		}
	}

}
