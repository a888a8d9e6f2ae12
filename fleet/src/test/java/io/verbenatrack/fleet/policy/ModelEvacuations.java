package io.verbenatrack.fleet.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.ZoneId;

/**
 * Operators who evacuate the zones of the modelled workers and withdraw the evacuations,
 * and the check that nothing begins in an evacuated zone. They repeat an order until it
 * is stored, and give the opposite order at any time.
 */
final class ModelEvacuations {

	/** From so long after the commit of an order nothing may begin in the zone. */
	private static final long EVACUATION_MILLIS = 5000;

	private static final long RETRY_MILLIS = 100;

	private static final long MAX_ORDER_DELAY_MILLIS = 1500;

	/** Longer than a start may be on its way before it begins too late. */
	private static final long MAX_CUT_MILLIS = 12_000;

	private static final List<ZoneId> ZONES = List.of(new ZoneId("zone-0"), new ZoneId("zone-1"), new ZoneId("zone-2"));

	private final Random random;

	private final ModelChecker checker;

	private final Predicate<FleetCommand> log;

	/** The latest order about each zone, until it is stored. */
	private final Map<ZoneId, FleetCommand> pending = new HashMap<>();

	/** When the present evacuation of a zone was stored. */
	private final Map<ZoneId, Long> evacuatedMillis = new HashMap<>();

	private boolean ended;

	private int stored;

	/**
	 * Creates the operators.
	 * @param random decides on their orders
	 * @param checker receives the violations
	 * @param log stores an order, and returns whether it is stored for certain
	 */
	ModelEvacuations(Random random, ModelChecker checker, Predicate<FleetCommand> log) {
		this.random = random;
		this.checker = checker;
		this.log = log;
	}

	/**
	 * Returns the zone of a worker.
	 * @param address the address of the worker
	 * @return the same zone for all workers that follow each other at an address
	 */
	static ZoneId zone(String address) {
		return ZONES.get(Math.floorMod(address.hashCode(), ZONES.size()));
	}

	/**
	 * Gives an order about any zone soon. The workers of the zone may not get responses
	 * meanwhile, so that starts are lost, and the leader may change.
	 * @param workers all workers
	 * @param nowMillis the time of the simulation
	 * @param later runs an action at a time of the simulation
	 * @param changeLeader changes the leader
	 */
	void order(List<ModelWorker> workers, long nowMillis, BiConsumer<Long, Runnable> later, Runnable changeLeader) {
		ZoneId zone = ZONES.get(this.random.nextInt(ZONES.size()));
		if (this.random.nextBoolean()) {
			long until = nowMillis + this.random.nextLong(MAX_CUT_MILLIS);
			workers.stream().filter((worker) -> zone(worker.address).equals(zone)).forEach((worker) -> {
				worker.cutInUntilMillis = Math.max(worker.cutInUntilMillis, until);
				this.checker.note("no responses to " + worker.incarnation + " until " + until);
			});
		}
		later.accept(nowMillis + this.random.nextLong(MAX_ORDER_DELAY_MILLIS), () -> order(zone));
		if (this.random.nextBoolean()) {
			later.accept(nowMillis + this.random.nextLong(2 * MAX_ORDER_DELAY_MILLIS), changeLeader);
		}
	}

	private void order(ZoneId zone) {
		if (this.ended) {
			return;
		}
		if (this.evacuatedMillis.containsKey(zone) || this.pending.get(zone) instanceof FleetCommand.EvacuateZone) {
			withdraw(zone);
		}
		else {
			this.pending.put(zone, new FleetCommand.EvacuateZone(zone));
		}
	}

	/** Withdraws all evacuations and orders no more, so that the jobs can end. */
	void end() {
		this.ended = true;
		ZONES.forEach(this::withdraw);
	}

	// From now on the order may be in force.
	private void withdraw(ZoneId zone) {
		this.evacuatedMillis.remove(zone);
		this.pending.put(zone, new FleetCommand.WithdrawEvacuation(zone));
	}

	/**
	 * Sends the orders that are not stored yet.
	 * @param nowMillis the time of the simulation
	 */
	void run(long nowMillis) {
		if (nowMillis % RETRY_MILLIS != 0) {
			return;
		}
		for (ZoneId zone : ZONES) {
			FleetCommand order = this.pending.get(zone);
			if (order != null && this.log.test(order)) {
				this.pending.remove(zone);
				this.stored++;
				if (order instanceof FleetCommand.EvacuateZone) {
					this.evacuatedMillis.put(zone, nowMillis);
				}
			}
		}
	}

	/**
	 * Checks that a task, or the work of a gang, may begin.
	 * @param task the task
	 * @param worker the worker on which it begins
	 * @param nowMillis the time of the simulation
	 */
	void began(TaskId task, ModelWorker worker, long nowMillis) {
		ZoneId zone = zone(worker.address);
		Optional.ofNullable(this.evacuatedMillis.get(zone))
			.filter((since) -> nowMillis - since > EVACUATION_MILLIS)
			.ifPresent((since) -> this.checker
				.report("EVACUATED: " + task + " begins on " + worker.incarnation + ", " + zone + " since " + since));
	}

	int stored() {
		return this.stored;
	}

}
