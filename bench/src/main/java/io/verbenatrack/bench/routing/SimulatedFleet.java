package io.verbenatrack.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.routing.SlotUse;
import io.verbenatrack.routing.TargetDelta;

/**
 * Simulation of six entries, thirty targets and their callers on a virtual clock.
 */
final class SimulatedFleet {

	static final int INSTANCES = 6;

	static final int TARGETS = 30;

	static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final List<String> ZONES = List.of("shah-alam", "petaling", "rawang");

	private static final long PEER_LATENCY_NANOS = VirtualClock.NANOS_PER_MILLI;

	private static final long SLOT_REPORT_INTERVAL_NANOS = 250 * VirtualClock.NANOS_PER_MILLI;

	private final VirtualClock clock = new VirtualClock();

	private final RandomGenerator random;

	private final Map<TargetId, SimulatedTarget> targets = new LinkedHashMap<>();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<RouterEntry> routers = new ArrayList<>();

	private final CallerStatistics caller;

	private int isolated = -1;

	SimulatedFleet(long seed, Strategy strategy, long fromNanos, long untilNanos) {
		this.random = new SplittableRandom(seed);
		this.caller = new CallerStatistics(this.clock, fromNanos, untilNanos);
		for (int i = 0; i < TARGETS; i++) {
			SimulatedTarget target = new SimulatedTarget(this.clock, this.random, i, ZONES.get(i % ZONES.size()));
			this.targets.put(target.spec().id(), target);
		}
		for (int i = 0; i < INSTANCES; i++) {
			this.entries.add(newEntry(strategy, i, seed));
		}
		if (!this.routers.isEmpty()) {
			connectRouters();
		}
	}

	private SimulatedEntry newEntry(Strategy strategy, int number, long seed) {
		List<SimulatedTarget> allTargets = List.copyOf(this.targets.values());
		return switch (strategy) {
			case ROUND_ROBIN -> new RoundRobinEntry(this.clock, allTargets, this.caller, TIMEOUT.toNanos(), 1);
			case UNLIMITED_RETRIES -> new RoundRobinEntry(this.clock, allTargets, this.caller, TIMEOUT.toNanos(), 4);
			case VERBENATRACK -> {
				RouterEntry entry = new RouterEntry(this.clock, this.targets, this.caller, TIMEOUT,
						new InstanceId("i-" + number), ZONES.get(number % ZONES.size()), seed + number);
				this.routers.add(entry);
				yield entry;
			}
		};
	}

	private void connectRouters() {
		List<InstanceId> all = new ArrayList<>();
		for (int i = 0; i < INSTANCES; i++) {
			all.add(new InstanceId("i-" + i));
		}
		this.routers.forEach((entry) -> entry.instances(all));
		this.targets.values().forEach((target) -> {
			announce(target);
			this.clock.scheduleRepeatedly(VirtualClock.NANOS_PER_SECOND, () -> announce(target));
		});
		this.clock.scheduleRepeatedly(SLOT_REPORT_INTERVAL_NANOS, this::reportSlots);
	}

	private void announce(SimulatedTarget target) {
		int entry = this.random.nextInt(INSTANCES);
		broadcast(entry,
				this.routers.get(entry)
					.directory()
					.announce(target.spec(), 0, target.phase(), target.load(), this.clock.now()));
	}

	private void broadcast(int from, TargetDelta delta) {
		for (int i = 0; i < INSTANCES; i++) {
			if (i != from && i != this.isolated && from != this.isolated) {
				RouterEntry peer = this.routers.get(i);
				this.clock.schedule(PEER_LATENCY_NANOS, () -> peer.directory().merge(delta, this.clock.now()));
			}
		}
	}

	private void reportSlots() {
		for (int from = 0; from < INSTANCES; from++) {
			for (SlotUse use : this.routers.get(from).slotUses()) {
				for (int to = 0; to < INSTANCES; to++) {
					RouterEntry peer = this.routers.get(to);
					if (to != from && to != this.isolated && from != this.isolated) {
						this.clock.schedule(PEER_LATENCY_NANOS, () -> peer.receiveSlotUse(use));
					}
				}
			}
		}
	}

	/**
	 * Generates Poisson arrivals of requests from a client account.
	 * @param account the account
	 * @param load the offered load as a multiple of the capacity of all targets
	 * @param idempotentShare the share of idempotent requests
	 */
	void offer(AccountId account, double load, double idempotentShare) {
		double requestsPerNano = load * TARGETS * SimulatedTarget.SLOTS / SimulatedTarget.MEAN_SERVICE_NANOS;
		long delay = (long) (-Math.log(1 - this.random.nextDouble()) / requestsPerNano);
		this.clock.schedule(delay, () -> {
			this.entries.get(this.random.nextInt(INSTANCES))
				.accept(account, this.random.nextDouble() < idempotentShare);
			offer(account, load, idempotentShare);
		});
	}

	void isolate(int instance) {
		this.isolated = instance;
	}

	void drain(TargetId target) {
		this.targets.get(target).startDraining();
		int entry = (this.isolated + 1) % INSTANCES;
		this.routers.get(entry)
			.directory()
			.drain(target, this.clock.now())
			.ifPresent((delta) -> broadcast(entry, delta));
	}

	List<SimulatedTarget> targets() {
		return List.copyOf(this.targets.values());
	}

	CallerStatistics caller() {
		return this.caller;
	}

	VirtualClock clock() {
		return this.clock;
	}

	static double capacityPerSecond() {
		return (double) TARGETS * SimulatedTarget.SLOTS * VirtualClock.NANOS_PER_SECOND
				/ SimulatedTarget.MEAN_SERVICE_NANOS;
	}

	/**
	 * Routing strategy.
	 */
	enum Strategy {

		ROUND_ROBIN("round robin, no limits"), UNLIMITED_RETRIES("retries, no budget"), VERBENATRACK("verbenatrack");

		private final String text;

		Strategy(String text) {
			this.text = text;
		}

		String text() {
			return this.text;
		}

	}

}
