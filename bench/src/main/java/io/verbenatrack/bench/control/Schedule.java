package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.verbenatrack.bench.control.LinearizabilityChecker.Verdict;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.state.configuration.ConfigurationCodec;

/**
 * One seeded simulation of replicas, instances, operators and entries under faults. At
 * the end all faults are healed and the cluster must make progress.
 */
final class Schedule {

	private static final long SETTLE_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long FAULT_PHASE_NANOS = Duration.ofSeconds(8).toNanos();

	private static final long RECOVERY_NANOS = Duration.ofSeconds(6).toNanos();

	/**
	 * Maximum time until an accepted change is in force on all instances that admit work.
	 */
	private static final long IN_FORCE_LIMIT_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

	private final long seed;

	private final long faultPhaseNanos;

	private final SplittableRandom random;

	private final SimulatedCluster cluster;

	private final FaultInjector faults;

	private final ConfigurationWorkload configuration;

	private final ClaimWorkload claims;

	private final List<SimulatedInstance> instances = new ArrayList<>();

	private final TreeMap<Long, Long> acceptedNanos = new TreeMap<>();

	private final TreeMap<Long, Long> inForceNanos = new TreeMap<>();

	Schedule(long seed, ScheduleSize shape) {
		this(seed, shape, FAULT_PHASE_NANOS);
	}

	/**
	 * Creates a schedule.
	 * @param seed its seed
	 * @param shape its size
	 * @param faultPhaseNanos the time in which there are faults, in nanoseconds
	 */
	Schedule(long seed, ScheduleSize shape, long faultPhaseNanos) {
		this.seed = seed;
		this.faultPhaseNanos = faultPhaseNanos;
		this.random = new SplittableRandom(seed);
		this.cluster = new SimulatedCluster(shape.replicas(), shape.entriesBetweenSnapshots(), this.random.split());
		this.faults = new FaultInjector(this.cluster, this.random.split());
		this.configuration = new ConfigurationWorkload(this.cluster, shape.meanPause(),
				(revision, now) -> this.acceptedNanos.putIfAbsent(revision, now));
		this.claims = new ClaimWorkload(this.cluster, shape.meanPause(), shape.requests());
		for (int i = 0; i < shape.instances(); i++) {
			this.instances.add(new SimulatedInstance(this.cluster, this.random.split()));
		}
	}

	SimulatedCluster cluster() {
		return this.cluster;
	}

	FaultInjector faults() {
		return this.faults;
	}

	ScheduleResult run(FaultPlan plan) {
		start();
		for (FaultPlan.FaultGroup group : plan.groups()) {
			this.cluster.clock().schedule(group.startNanos(), () -> group.faults().forEach(this::inject));
		}
		runUntil(faultsEndNanos());
		return finish();
	}

	long faultsEndNanos() {
		return SETTLE_NANOS + this.faultPhaseNanos;
	}

	void start() {
		this.cluster.start();
		this.instances.forEach(SimulatedInstance::start);
		long end = faultsEndNanos() + RECOVERY_NANOS / 2;
		this.configuration.start(3, end, this.random.split());
		this.claims.start(4, end, this.random.split());
		checkInForce();
	}

	ScheduleResult finish() {
		long committedBefore = this.cluster.monitor().committedEntries();
		this.cluster.heal();
		this.instances.forEach((instance) -> instance.isolated(false));
		runUntil(this.cluster.clock().nowNanos() + RECOVERY_NANOS);
		if (this.cluster.monitor().committedEntries() <= committedBefore) {
			this.cluster.monitor().recordViolation("nothing was committed after all faults were healed");
		}
		requireProgress();
		return result();
	}

	long acceptedChanges() {
		return this.acceptedNanos.size();
	}

	/**
	 * Returns a change that is never accepted, because it expects revision -1.
	 * @return the command
	 */
	byte[] rejectedChange() {
		return ConfigurationCodec.change(new ChangeId("probe"), "bench", -1, new byte[0]);
	}

	void runUntil(long nanos) {
		while (this.cluster.clock().runNext(nanos)) {
			continue;
		}
	}

	private void inject(FaultPlan.Fault fault) {
		List<SimulatedReplica> replicas = this.cluster.replicas();
		int leader = this.cluster.leader().map(replicas::indexOf).orElse(0);
		this.faults.inject(fault.kind(), replicas.get((leader + fault.replicaOffset()) % replicas.size()),
				fault.durationNanos());
		if (fault.kind() == FaultKind.PARTITION_BOTH && !this.instances.isEmpty()) {
			SimulatedInstance instance = this.instances.get(0);
			instance.isolated(true);
			this.cluster.clock().schedule(fault.durationNanos(), () -> instance.isolated(false));
		}
	}

	private void checkInForce() {
		long now = this.cluster.clock().nowNanos();
		long lowest = this.instances.stream()
			.filter(SimulatedInstance::mayAdmit)
			.mapToLong(SimulatedInstance::revision)
			.min()
			.orElse(Long.MAX_VALUE);
		this.acceptedNanos.forEach((revision, accepted) -> {
			if (lowest >= revision) {
				this.inForceNanos.putIfAbsent(revision, now);
			}
			else if (now - accepted > IN_FORCE_LIMIT_NANOS) {
				this.cluster.monitor().recordViolation("revision " + revision + " is not in force after 5 s");
			}
		});
		this.cluster.clock().schedule(CHECK_INTERVAL_NANOS, this::checkInForce);
	}

	private void requireProgress() {
		if (this.cluster.leader().isEmpty()) {
			this.cluster.monitor()
				.recordViolation("no leader " + RECOVERY_NANOS / 1_000_000 + " ms after all faults were healed");
			return;
		}
		long leaderCommitIndex = this.cluster.leader().get().core().commitIndex();
		for (SimulatedReplica replica : this.cluster.present()) {
			if (replica.core().commitIndex() < leaderCommitIndex - this.cluster.limits().unacknowledgedEntries()
					|| replica.core().term() != this.cluster.leader().get().core().term()) {
				this.cluster.monitor().recordViolation(replica.id() + " has not caught up with the leader");
			}
		}
		long revision = this.cluster.leader().get().machine().inForce().revision().number();
		if (!this.acceptedNanos.isEmpty() && revision < this.acceptedNanos.lastKey()) {
			this.cluster.monitor().recordViolation("accepted revision " + this.acceptedNanos.lastKey() + " was lost");
		}
	}

	private ScheduleResult result() {
		int inconclusive = 0;
		inconclusive += countInconclusive("configuration",
				new LinearizabilityChecker<>(new ConfigurationModel(), this.configuration.history()).check());
		int claimOperations = 0;
		for (var history : this.claims.histories()) {
			claimOperations += history.size();
			inconclusive += countInconclusive("claims",
					new LinearizabilityChecker<>(new ClaimModel(), history).check());
		}
		List<Long> inForce = new ArrayList<>();
		this.inForceNanos.forEach((revision, at) -> inForce.add((at - this.acceptedNanos.get(revision)) / 1_000_000));
		SafetyMonitor monitor = this.cluster.monitor();
		return new ScheduleResult(this.seed, List.copyOf(monitor.violations()), this.configuration.history().size(),
				claimOperations, inconclusive, monitor.resumes(), monitor.wrongUncheckedResumes(),
				monitor.unknownResumes(), monitor.terms(), monitor.committedEntries(), inForce);
	}

	/**
	 * Returns the results so far after an exception ended the schedule.
	 * @return the result, without linearizability checks
	 */
	ScheduleResult partialResult() {
		SafetyMonitor monitor = this.cluster.monitor();
		return new ScheduleResult(this.seed, List.copyOf(monitor.violations()), 0, 0, 0, monitor.resumes(),
				monitor.wrongUncheckedResumes(), monitor.unknownResumes(), monitor.terms(), monitor.committedEntries(),
				List.of());
	}

	private int countInconclusive(String what, Verdict verdict) {
		if (verdict == Verdict.NOT_LINEARIZABLE) {
			this.cluster.monitor().recordViolation("the history of " + what + " is not linearizable");
		}
		return (verdict == Verdict.OPEN) ? 1 : 0;
	}

}
