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

	private static final long FAULTY_NANOS = Duration.ofSeconds(8).toNanos();

	private static final long HEALING_NANOS = Duration.ofSeconds(6).toNanos();

	/**
	 * Maximum time until an accepted change is in force on all instances that admit work.
	 */
	private static final long IN_FORCE_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long LOOK_NANOS = Duration.ofMillis(50).toNanos();

	private final long seed;

	private final SplittableRandom random;

	private final SimulatedCluster cluster;

	private final FaultInjector faults;

	private final ConfigurationWorkload configuration;

	private final ClaimWorkload claims;

	private final List<SimulatedInstance> instances = new ArrayList<>();

	private final TreeMap<Long, Long> acceptedNanos = new TreeMap<>();

	private final TreeMap<Long, Long> inForceNanos = new TreeMap<>();

	Schedule(long seed, ScheduleShape shape) {
		this.seed = seed;
		this.random = new SplittableRandom(seed);
		this.cluster = new SimulatedCluster(shape.replicas(), shape.entriesBetweenSnapshots(), this.random.split());
		this.faults = new FaultInjector(this.cluster, this.random.split());
		this.configuration = new ConfigurationWorkload(this.cluster, shape.think(),
				(revision, now) -> this.acceptedNanos.putIfAbsent(revision, now));
		this.claims = new ClaimWorkload(this.cluster, shape.think(), shape.requests());
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
		begin();
		for (FaultPlan.Moment moment : plan.moments()) {
			this.cluster.time().after(moment.atNanos(), () -> moment.faults().forEach(this::strike));
		}
		runUntil(SETTLE_NANOS + FAULTY_NANOS);
		return finish();
	}

	void begin() {
		this.cluster.start();
		this.instances.forEach(SimulatedInstance::start);
		long end = SETTLE_NANOS + FAULTY_NANOS + HEALING_NANOS / 2;
		this.configuration.start(3, end, this.random.split());
		this.claims.start(4, end, this.random.split());
		look();
	}

	ScheduleResult finish() {
		this.cluster.heal();
		this.instances.forEach((instance) -> instance.cutOff(false));
		runUntil(this.cluster.time().nowNanos() + HEALING_NANOS);
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
	byte[] probe() {
		return ConfigurationCodec.change(new ChangeId("probe"), "bench", -1, new byte[0]);
	}

	void runUntil(long nanos) {
		while (this.cluster.time().step(nanos)) {
			continue;
		}
	}

	private void strike(FaultPlan.Fault fault) {
		List<SimulatedReplica> replicas = this.cluster.replicas();
		int leader = this.cluster.leader().map(replicas::indexOf).orElse(0);
		this.faults.inject(fault.kind(), replicas.get((leader + fault.victim()) % replicas.size()),
				fault.durationNanos());
		if (fault.kind() == FaultKind.PARTITION_BOTH && !this.instances.isEmpty()) {
			SimulatedInstance instance = this.instances.get(0);
			instance.cutOff(true);
			this.cluster.time().after(fault.durationNanos(), () -> instance.cutOff(false));
		}
	}

	private void look() {
		long now = this.cluster.time().nowNanos();
		long lowest = this.instances.stream()
			.filter(SimulatedInstance::mayAdmit)
			.mapToLong(SimulatedInstance::revision)
			.min()
			.orElse(Long.MAX_VALUE);
		this.acceptedNanos.forEach((revision, accepted) -> {
			if (lowest >= revision) {
				this.inForceNanos.putIfAbsent(revision, now);
			}
			else if (now - accepted > IN_FORCE_NANOS) {
				this.cluster.monitor().violate("revision " + revision + " is not in force after 5 s");
			}
		});
		this.cluster.time().after(LOOK_NANOS, this::look);
	}

	private void requireProgress() {
		if (this.cluster.leader().isEmpty()) {
			this.cluster.monitor().violate("no leader " + HEALING_NANOS / 1_000_000 + " ms after all healed");
			return;
		}
		long last = this.cluster.leader().get().core().commitIndex();
		for (SimulatedReplica replica : this.cluster.replicas()) {
			if (replica.core().commitIndex() < last - this.cluster.limits().unacknowledgedEntries()
					|| replica.core().term() != this.cluster.leader().get().core().term()) {
				this.cluster.monitor().violate(replica.id() + " has not rejoined");
			}
		}
		long revision = this.cluster.leader().get().machine().inForce().revision().number();
		if (!this.acceptedNanos.isEmpty() && revision < this.acceptedNanos.lastKey()) {
			this.cluster.monitor().violate("accepted revision " + this.acceptedNanos.lastKey() + " was lost");
		}
	}

	private ScheduleResult result() {
		int open = 0;
		open += judge("configuration",
				new LinearizabilityChecker<>(new ConfigurationModel(), this.configuration.history()).check());
		int claimOperations = 0;
		for (var history : this.claims.histories()) {
			claimOperations += history.size();
			open += judge("claims", new LinearizabilityChecker<>(new ClaimModel(), history).check());
		}
		List<Long> inForce = new ArrayList<>();
		this.inForceNanos.forEach((revision, at) -> inForce.add((at - this.acceptedNanos.get(revision)) / 1_000_000));
		SafetyMonitor monitor = this.cluster.monitor();
		return new ScheduleResult(this.seed, List.copyOf(monitor.violations()), this.configuration.history().size(),
				claimOperations, open, monitor.resumes(), monitor.wrongPlainResumes(), monitor.unknownResumes(),
				monitor.terms(), monitor.committedEntries(), inForce);
	}

	/**
	 * Returns the results so far after an exception ended the schedule.
	 * @return the result, without linearizability checks
	 */
	ScheduleResult unfinished() {
		SafetyMonitor monitor = this.cluster.monitor();
		return new ScheduleResult(this.seed, List.copyOf(monitor.violations()), 0, 0, 0, monitor.resumes(),
				monitor.wrongPlainResumes(), monitor.unknownResumes(), monitor.terms(), monitor.committedEntries(),
				List.of());
	}

	private int judge(String what, Verdict verdict) {
		if (verdict == Verdict.NOT_LINEARIZABLE) {
			this.cluster.monitor().violate("the history of " + what + " is not linearizable");
		}
		return (verdict == Verdict.OPEN) ? 1 : 0;
	}

}
