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
final class VirtualFleet {

	static final int INSTANCES = 6;

	static final int TARGETS = 30;

	static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final List<String> ZONES = List.of("shah-alam", "petaling", "rawang");

	private static final long PEER_NANOS = VirtualTime.MILLI;

	private static final long SLOT_REPORT_NANOS = 250 * VirtualTime.MILLI;

	private final VirtualTime time = new VirtualTime();

	private final RandomGenerator random;

	private final Map<TargetId, VirtualTarget> targets = new LinkedHashMap<>();

	private final List<Entry> entries = new ArrayList<>();

	private final List<RouterEntry> routers = new ArrayList<>();

	private final VirtualCaller caller;

	private int cutOff = -1;

	VirtualFleet(long seed, Strategy strategy, long fromNanos, long untilNanos) {
		this.random = new SplittableRandom(seed);
		this.caller = new VirtualCaller(this.time, fromNanos, untilNanos);
		for (int i = 0; i < TARGETS; i++) {
			VirtualTarget target = new VirtualTarget(this.time, this.random, i, ZONES.get(i % ZONES.size()));
			this.targets.put(target.spec().id(), target);
		}
		for (int i = 0; i < INSTANCES; i++) {
			this.entries.add(newEntry(strategy, i, seed));
		}
		if (!this.routers.isEmpty()) {
			connectRouters();
		}
	}

	private Entry newEntry(Strategy strategy, int number, long seed) {
		List<VirtualTarget> list = List.copyOf(this.targets.values());
		return switch (strategy) {
			case ROUND_ROBIN -> new RoundRobinEntry(this.time, list, this.caller, TIMEOUT.toNanos(), 1);
			case UNLIMITED_RETRIES -> new RoundRobinEntry(this.time, list, this.caller, TIMEOUT.toNanos(), 4);
			case VERBENATRACK -> {
				RouterEntry entry = new RouterEntry(this.time, this.targets, this.caller, TIMEOUT,
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
			this.time.every(VirtualTime.SECOND, () -> announce(target));
		});
		this.time.every(SLOT_REPORT_NANOS, this::reportSlots);
	}

	private void announce(VirtualTarget target) {
		int entry = this.random.nextInt(INSTANCES);
		spread(entry,
				this.routers.get(entry)
					.directory()
					.announce(target.spec(), 0, target.phase(), target.load(), this.time.now()));
	}

	private void spread(int from, TargetDelta delta) {
		for (int i = 0; i < INSTANCES; i++) {
			if (i != from && i != this.cutOff && from != this.cutOff) {
				RouterEntry peer = this.routers.get(i);
				this.time.in(PEER_NANOS, () -> peer.directory().merge(delta, this.time.now()));
			}
		}
	}

	private void reportSlots() {
		for (int from = 0; from < INSTANCES; from++) {
			for (SlotUse use : this.routers.get(from).slotUses()) {
				for (int to = 0; to < INSTANCES; to++) {
					RouterEntry peer = this.routers.get(to);
					if (to != from && to != this.cutOff && from != this.cutOff) {
						this.time.in(PEER_NANOS, () -> peer.hear(use));
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
		double perNano = load * TARGETS * VirtualTarget.SLOTS / VirtualTarget.MEAN_SERVICE_NANOS;
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) / perNano);
		this.time.in(gap, () -> {
			this.entries.get(this.random.nextInt(INSTANCES))
				.accept(account, this.random.nextDouble() < idempotentShare);
			offer(account, load, idempotentShare);
		});
	}

	void cutOff(int instance) {
		this.cutOff = instance;
	}

	void drain(TargetId target) {
		this.targets.get(target).leave();
		int entry = (this.cutOff + 1) % INSTANCES;
		this.routers.get(entry).directory().drain(target, this.time.now()).ifPresent((delta) -> spread(entry, delta));
	}

	List<VirtualTarget> targets() {
		return List.copyOf(this.targets.values());
	}

	VirtualCaller caller() {
		return this.caller;
	}

	VirtualTime time() {
		return this.time;
	}

	static double capacityPerSecond() {
		return (double) TARGETS * VirtualTarget.SLOTS * VirtualTime.SECOND / VirtualTarget.MEAN_SERVICE_NANOS;
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
