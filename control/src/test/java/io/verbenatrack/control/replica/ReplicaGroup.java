package io.verbenatrack.control.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.control.storage.LogRecovery;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Replicas with settings of their own, whose machines can be started, killed, frozen, cut
 * off and wiped. Messages take one step, and disks sync at once.
 */
final class ReplicaGroup {

	private static final String CLUSTER_NAME = "test";

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration REPLACE_AFTER = Duration.ofMillis(2400);

	private final Map<String, Machine> machines = new TreeMap<>();

	private final List<String> formed = new ArrayList<>();

	private final Set<Set<String>> cuts = new HashSet<>();

	private final SplittableRandom random = new SplittableRandom(1);

	private final int targetVoters;

	private List<ReplicaEffect.Send> sent = new ArrayList<>();

	private long nowNanos = Duration.ofSeconds(1).toNanos();

	ReplicaGroup(int targetVoters) {
		this.targetVoters = targetVoters;
	}

	/**
	 * Returns the clusters that were formed.
	 * @return their ids
	 */
	List<String> formed() {
		return this.formed;
	}

	/**
	 * Returns the cluster that a machine belongs to.
	 * @param name the machine
	 * @return the id, empty if it belongs to none
	 */
	String clusterOf(String name) {
		return machine(name).core.cluster();
	}

	Optional<String> leader() {
		return this.machines.values()
			.stream()
			.filter((machine) -> machine.core != null && machine.core.leads())
			.map((machine) -> machine.name)
			.findFirst();
	}

	List<String> voters() {
		return leader()
			.map((leader) -> machine(leader).core.membership()
				.getVotersList()
				.stream()
				.map((voter) -> voter.getInstance() + "/" + voter.getIncarnation())
				.sorted()
				.toList())
			.orElse(List.of());
	}

	private Machine machine(String name) {
		return this.machines.computeIfAbsent(name, Machine::new);
	}

	/**
	 * Starts the processes of the initial members for the first time.
	 * @param names the machines, which are one another's seeds
	 */
	void bootstrap(String... names) {
		for (String name : names) {
			machine(name).start(true, List.of(names));
		}
	}

	/**
	 * Starts a process, other than one of the first start of all.
	 * @param name the machine
	 * @param seeds the machines that its settings name now
	 */
	void start(String name, String... seeds) {
		machine(name).start(false, List.of(seeds));
	}

	/**
	 * Changes the settings of a process that runs.
	 * @param name the machine
	 * @param seeds the machines that its settings name now
	 */
	void reload(String name, String... seeds) {
		machine(name).handle(new ReplicaEvent.SeedsChanged(List.of(seeds).stream().map(ReplicaGroup::member).toList()));
	}

	private static ReplicaMember member(String instance) {
		return ReplicaMember.newBuilder().setInstance(instance).setAddress(instance + ":1").build();
	}

	void kill(String... names) {
		for (String name : names) {
			machine(name).core = null;
		}
	}

	/**
	 * Ends a process and empties its disk.
	 * @param name the machine
	 */
	void wipe(String name) {
		kill(name);
		machine(name).replaceDisk();
	}

	void freeze(String name) {
		machine(name).frozen = true;
	}

	void thaw(String name) {
		machine(name).frozen = false;
	}

	/**
	 * Cuts the links between two sets of machines.
	 * @param some the names of one set, as one text
	 * @param others the names of the other set, as one text
	 */
	void cut(String some, String others) {
		this.cuts.addAll(links(some, others));
	}

	/**
	 * Restores the links between two sets of machines.
	 * @param some the names of one set, as one text
	 * @param others the names of the other set, as one text
	 */
	void restore(String some, String others) {
		this.cuts.removeAll(links(some, others));
	}

	private static Set<Set<String>> links(String some, String others) {
		Set<Set<String>> links = new HashSet<>();
		for (String one : some.split("")) {
			for (String other : others.split("")) {
				links.add(Set.of(one, other));
			}
		}
		return links;
	}

	void heal() {
		this.cuts.clear();
	}

	void run(Duration duration) {
		long end = this.nowNanos + duration.toNanos();
		while (this.nowNanos < end) {
			this.nowNanos += STEP.toNanos();
			List<ReplicaEffect.Send> arriving = this.sent;
			this.sent = new ArrayList<>();
			arriving.forEach(this::deliver);
			this.machines.values().forEach((machine) -> machine.handle(new ReplicaEvent.Tick()));
		}
	}

	private void deliver(ReplicaEffect.Send send) {
		ReplicaMessage message = send.message();
		String from = message.getFrom().substring(0, 1);
		String to = send.to().getInstance();
		if (!this.cuts.contains(new HashSet<>(Arrays.asList(from, to)))) {
			machine(to).handle(new ReplicaEvent.Received(message));
		}
	}

	private ClockReading reading() {
		return new ClockReading(new HeldTime(this.nowNanos), new GrantedTime(this.nowNanos));
	}

	/** A machine with its disk and, while it runs, its process. */
	private final class Machine {

		private final String name;

		private int incarnation = 1;

		private List<LogRecord> disk = new ArrayList<>();

		private Optional<Boolean> namedAtFirstStart = Optional.empty();

		private ReplicaCore core;

		private boolean frozen;

		private Machine(String name) {
			this.name = name;
		}

		private void replaceDisk() {
			this.incarnation++;
			this.disk = new ArrayList<>();
			this.namedAtFirstStart = Optional.empty();
		}

		private void start(boolean mayFormCluster, List<String> seeds) {
			if (this.namedAtFirstStart.isEmpty()) {
				this.namedAtFirstStart = Optional.of(seeds.contains(this.name));
			}
			List<ReplicaMember> initialMembers = seeds.stream().map(ReplicaGroup::member).toList();
			ReplicaMember self = member(this.name).toBuilder()
				.setIncarnation(Integer.toString(this.incarnation))
				.build();
			this.core = new ReplicaCore(new ReplicaConfiguration(CLUSTER_NAME, self, initialMembers,
					ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT,
					new MembershipPolicy(ReplicaGroup.this.targetVoters, mayFormCluster, REPLACE_AFTER),
					this.namedAtFirstStart.get()), recovered(), ReplicaGroup.this.random.split(), reading());
			handle(new ReplicaEvent.Tick());
		}

		private RecoveredLog recovered() {
			LogRecovery recovery = new LogRecovery(SnapshotHeader.getDefaultInstance());
			this.disk.forEach(recovery::accept);
			try {
				return recovery.recovered();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private void handle(ReplicaEvent event) {
			if (this.core == null || this.frozen) {
				return;
			}
			this.core.handle(reading(), event);
			for (ReplicaEffect effect : this.core.flush()) {
				execute(effect);
			}
		}

		private void execute(ReplicaEffect effect) {
			switch (effect) {
				case ReplicaEffect.Send send -> ReplicaGroup.this.sent.add(send);
				case ReplicaEffect.Persist persist -> {
					this.disk.addAll(persist.records());
					handle(new ReplicaEvent.Synced(persist.ticket()));
				}
				case ReplicaEffect.Roll roll -> {
					this.disk = new ArrayList<>(roll.records());
					handle(new ReplicaEvent.Synced(roll.ticket()));
				}
				case ReplicaEffect.Notify notify -> {
					if (notify.notice() == ReplicaNotice.FORMED) {
						ReplicaGroup.this.formed.add(notify.detail());
					}
				}
				default -> {
				}
			}
		}

	}

}
