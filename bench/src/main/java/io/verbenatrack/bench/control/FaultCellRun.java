package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.List;

import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;

/**
 * Runs one cell of the fault matrix: waits until a replica enters the state, injects the
 * faults, and checks the expectation.
 */
final class FaultCellRun {

	private static final long PROVOKE_AT_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long INJECTION_LIMIT_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long FAULT_NANOS = Duration.ofSeconds(4).toNanos();

	private static final long DISK_FULL_NANOS = Duration.ofMillis(1500).toNanos();

	private final FaultMatrix.Cell cell;

	private final Schedule schedule;

	private final SimulatedCluster cluster;

	private long injectedNanos = -1;

	private long acceptedBeforeFault;

	FaultCellRun(FaultMatrix.Cell cell, long seed) {
		this.cell = cell;
		this.schedule = new Schedule(seed, ScheduleSize.THREE_REPLICAS);
		this.cluster = this.schedule.cluster();
	}

	/**
	 * Runs the cell.
	 * @return the violations, empty if the cell passed
	 */
	List<String> run() {
		this.cluster.monitor().observer(this::injectWhenReached);
		this.cluster.clock().schedule(PROVOKE_AT_NANOS, this::provokeState);
		this.schedule.start();
		this.schedule.runUntil(INJECTION_LIMIT_NANOS);
		if (this.injectedNanos < 0) {
			return List.of("no replica entered the state " + this.cell.state());
		}
		this.schedule.runUntil(this.injectedNanos + FAULT_NANOS);
		boolean changesAccepted = this.schedule.acceptedChanges() > this.acceptedBeforeFault;
		if (this.cell.expectation() == FaultExpectation.SERVES && !changesAccepted) {
			this.cluster.monitor().recordViolation("no change was accepted while the fault lasted");
		}
		return this.schedule.finish().violations();
	}

	private void provokeState() {
		SimulatedReplica leader = this.cluster.leader().orElse(this.cluster.replicas().get(0));
		switch (this.cell.state()) {
			case "pre-candidate", "candidate" -> this.schedule.faults().inject(FaultKind.RESTART, leader, FAULT_NANOS);
			case "handing-over" -> {
				leader.propose(SimulatedStateMachine.configurationCommand(this.schedule.rejectedChange()),
						(outcome) -> {
						});
				leader.handle(new ReplicaEvent.HandOverRequested());
			}
			case "faulted" -> this.schedule.faults().inject(FaultKind.DISK_FULL, leader, DISK_FULL_NANOS);
			default -> {
			}
		}
	}

	private void injectWhenReached(SimulatedReplica replica) {
		boolean unformed = this.cell.state().equals(ReplicaRole.UNFORMED.chartName());
		boolean due = unformed || this.cluster.clock().nowNanos() >= PROVOKE_AT_NANOS;
		if (this.injectedNanos >= 0 || !due || !replica.core().role().chartName().equals(this.cell.state())) {
			return;
		}
		this.injectedNanos = this.cluster.clock().nowNanos();
		this.cluster.clock().schedule(0, () -> injectFaults(replica));
	}

	private void injectFaults(SimulatedReplica replica) {
		this.acceptedBeforeFault = this.schedule.acceptedChanges();
		List<SimulatedReplica> replicas = this.cluster.replicas();
		for (int i = 0; i < this.cell.faults().size(); i++) {
			SimulatedReplica affected = replicas.get((replicas.indexOf(replica) + i) % replicas.size());
			this.schedule.faults().inject(this.cell.faults().get(i), affected, FAULT_NANOS);
		}
	}

}
