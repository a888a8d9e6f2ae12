package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Schedule in which the machines of the control log change: voters are replaced for good
 * by empty machines at other addresses, machines are added, seeds change, disks are lost
 * and all lose power at once, beside cuts and pauses.
 */
final class MachineSchedule {

	/** Long enough for several replacements in a row. */
	static final Duration FAULT_PHASE = Duration.ofSeconds(24);

	private static final int SEEDS = 3;

	/** The limit of replicas, so that no machine is turned away for good. */
	private static final int MAXIMUM_MACHINES = 7;

	private static final long MAX_RESTART_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long RETRY_NANOS = Duration.ofMillis(5).toNanos();

	private final Schedule schedule;

	private final SimulatedCluster cluster;

	private final List<MachineSteps.Step> steps;

	/** The instances that the settings of all machines name. */
	private List<ReplicaMember> seeds;

	private int losses;

	private int replacements;

	MachineSchedule(long seed, ScheduleSize shape, List<MachineSteps.Step> steps) {
		this.schedule = new Schedule(seed, shape, FAULT_PHASE.toNanos());
		this.cluster = this.schedule.cluster();
		this.steps = steps;
		this.seeds = this.cluster.founders();
	}

	static List<MachineSteps.Step> steps(long seed) {
		return MachineSteps.generate(seed, FAULT_PHASE.toNanos());
	}

	/**
	 * Runs the schedule.
	 * @return the result; an exception of the code under test counts as a violation
	 */
	ScheduleResult run() {
		try {
			this.schedule.start();
			this.steps.forEach((step) -> this.cluster.clock().schedule(step.startNanos(), () -> play(step)));
			this.schedule.runUntil(this.schedule.faultsEndNanos());
			changeSeeds(new SplittableRandom(this.schedule.faultsEndNanos()));
			stopThoseThatNoMemberKnows();
			return this.schedule.finish();
		}
		catch (RuntimeException ex) {
			this.cluster.monitor().recordViolation(ex + " at " + ex.getStackTrace()[0]);
			return this.schedule.partialResult();
		}
	}

	/**
	 * Returns how many disks of voters were lost, with those of machines removed for
	 * good.
	 * @return the number
	 */
	int losses() {
		return this.losses;
	}

	int replacements() {
		return this.replacements;
	}

	/**
	 * Leaves out steps as long as the schedule still breaks a rule.
	 * @param seed the seed
	 * @param shape the size of the schedule
	 * @return the steps that are left
	 */
	static List<MachineSteps.Step> shrink(long seed, ScheduleSize shape) {
		List<MachineSteps.Step> needed = new ArrayList<>(steps(seed));
		for (MachineSteps.Step step : List.copyOf(needed)) {
			List<MachineSteps.Step> fewer = new ArrayList<>(needed);
			fewer.remove(step);
			if (!new MachineSchedule(seed, shape, fewer).run().violations().isEmpty()) {
				needed = fewer;
			}
		}
		return needed;
	}

	// A running process ignores changed seeds. One that is no member may know none of the
	// machines that are left and has to be restarted.
	private void stopThoseThatNoMemberKnows() {
		Membership committed = this.cluster.monitor().committedMembership();
		List<String> members = Stream.concat(committed.getVotersList().stream(), committed.getLearnersList().stream())
			.map((member) -> ReplicaId.of(member).text())
			.toList();
		this.cluster.present()
			.stream()
			.filter((replica) -> !members.contains(replica.id().text()))
			.forEach(SimulatedReplica::crash);
	}

	private void play(MachineSteps.Step step) {
		SplittableRandom random = new SplittableRandom(step.seed());
		switch (step.kind()) {
			case REPLACE_VOTER, REMOVE_MACHINE, LOSE_DISKS, LOSE_POWER_AND_DISKS ->
				playWhenBearable(step, random, step.startNanos() + step.durationNanos());
			default -> play(step, random);
		}
	}

	// A loss comes as soon as the deployment bears it again.
	private void playWhenBearable(MachineSteps.Step step, SplittableRandom random, long untilNanos) {
		if (this.cluster.bearableLosses() > 0) {
			play(step, random);
		}
		else if (this.cluster.clock().nowNanos() < untilNanos) {
			this.cluster.clock().schedule(RETRY_NANOS, () -> playWhenBearable(step, random, untilNanos));
		}
	}

	private void play(MachineSteps.Step step, SplittableRandom random) {
		switch (step.kind()) {
			case REPLACE_VOTER -> remove(random, true);
			case REMOVE_MACHINE -> remove(random, false);
			case ADD_MACHINE -> add(random);
			case CHANGE_SEEDS -> {
				changeSeeds(random);
				inject(FaultKind.RESTART, any(random), step);
			}
			case LOSE_DISKS -> {
				List<SimulatedReplica> lost = voters(random, this.cluster.bearableLosses());
				lost.forEach((replica) -> restartLater(replica, random));
				lost.forEach(this::loseDisk);
			}
			case LOSE_POWER -> losePower(random, 0);
			case LOSE_POWER_AND_DISKS -> losePower(random, this.cluster.bearableLosses());
			case CUT -> inject(cut(random), any(random), step);
			case CUT_LEADER -> inject(cut(random), this.cluster.leader().orElse(any(random)), step);
			case PAUSE -> inject(random.nextBoolean() ? FaultKind.PAUSE : FaultKind.SUSPENSION, any(random), step);
			case RESTART ->
				inject(random.nextBoolean() ? FaultKind.PROCESS_DEATH : FaultKind.RESTART, any(random), step);
			case SLOW ->
				inject(List.of(FaultKind.MESSAGE_LOSS, FaultKind.MESSAGE_DUPLICATION, FaultKind.MESSAGE_REORDERING,
						FaultKind.SLOW_DISK, FaultKind.CLOCK_STEP)
					.get(random.nextInt(5)), any(random), step);
		}
	}

	private static FaultKind cut(SplittableRandom random) {
		return List.of(FaultKind.PARTITION_BOTH, FaultKind.PARTITION_IN, FaultKind.PARTITION_OUT)
			.get(random.nextInt(3));
	}

	private void inject(FaultKind kind, SimulatedReplica affected, MachineSteps.Step step) {
		this.schedule.faults().inject(kind, affected, step.durationNanos());
	}

	private SimulatedReplica any(SplittableRandom random) {
		List<SimulatedReplica> present = this.cluster.present();
		return present.get(random.nextInt(present.size()));
	}

	private List<SimulatedReplica> voters(SplittableRandom random, int limit) {
		Membership membership = this.cluster.leader()
			.map((leader) -> leader.core().membership())
			.orElse(Membership.getDefaultInstance());
		List<SimulatedReplica> voters = new ArrayList<>(this.cluster.present()
			.stream()
			.filter((replica) -> membership.getVotersList()
				.stream()
				.anyMatch((voter) -> voter.getInstance().equals(replica.instance().value())
						&& voter.getIncarnation().equals(replica.disk().incarnation())))
			.toList());
		Collections.shuffle(voters, new Random(random.nextLong()));
		return voters.subList(0, Math.min(voters.size(), Math.max(0, limit)));
	}

	private void remove(SplittableRandom random, boolean replaced) {
		List<SimulatedReplica> removed = voters(random, Math.min(1, this.cluster.bearableLosses()));
		int left = this.cluster.present().size() - removed.size();
		if (removed.isEmpty() || (!replaced && left <= this.cluster.membershipPolicy().targetVoters())) {
			return;
		}
		this.losses++;
		removed.forEach(SimulatedReplica::retire);
		changeSeeds(random);
		if (replaced) {
			this.replacements++;
			this.cluster.clock().schedule(random.nextLong(MAX_RESTART_NANOS), () -> add(random));
		}
	}

	private void add(SplittableRandom random) {
		if (this.cluster.present().size() < MAXIMUM_MACHINES) {
			SimulatedReplica added = this.cluster.add();
			changeSeeds(random);
			added.start();
		}
	}

	// Seeds are machines that serve control. Some of them may be gone when a process
	// reads its settings.
	private void changeSeeds(SplittableRandom random) {
		List<ReplicaMember> serving = new ArrayList<>(this.cluster.present()
			.stream()
			.filter(SimulatedReplica::joined)
			.map(SimulatedReplica::address)
			.toList());
		Collections.shuffle(serving, new Random(random.nextLong()));
		if (!serving.isEmpty()) {
			this.seeds = List.copyOf(serving.subList(0, Math.min(SEEDS, serving.size())));
		}
		this.cluster.present().forEach((replica) -> replica.joinWith(this.seeds));
	}

	private void losePower(SplittableRandom random, int disks) {
		List<SimulatedReplica> lost = voters(random, disks);
		Stream.concat(lost.stream(), this.cluster.present().stream()).distinct().forEach((replica) -> {
			replica.crash();
			restartLater(replica, random);
		});
		lost.forEach(this::loseDisk);
	}

	private void loseDisk(SimulatedReplica affected) {
		this.losses++;
		affected.crash();
		affected.replaceDisk();
		affected.joinWith(this.seeds);
	}

	private void restartLater(SimulatedReplica affected, SplittableRandom random) {
		this.cluster.clock().schedule(random.nextLong(MAX_RESTART_NANOS), () -> {
			if (!affected.alive()) {
				affected.start();
			}
		});
	}

}
