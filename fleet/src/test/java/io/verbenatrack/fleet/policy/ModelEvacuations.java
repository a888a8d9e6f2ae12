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
final class ModelEvacuations implements ModelOperators {

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

	private final Map<ZoneId, FleetCommand> pending = new HashMap<>();

	/** When the present evacuation of a zone was stored. */
	private final Map<ZoneId, Long> evacuatedMillis = new HashMap<>();

	private boolean ended;

	private int stored;

	// The log returns whether an order is stored for certain.
	ModelEvacuations(Random random, ModelChecker checker, Predicate<FleetCommand> log) {
		this.random = random;
		this.checker = checker;
		this.log = log;
	}

	// Workers that follow each other at an address are in the same zone.
	static ZoneId zone(String address) {
		return ZONES.get(Math.floorMod(address.hashCode(), ZONES.size()));
	}

	/**
	 * Gives an order about any zone soon. The workers of the zone may not get responses
	 * meanwhile, so that starts are lost, and the leader may change.
	 */
	@Override
	public void order(List<ModelWorker> workers, long nowMillis, BiConsumer<Long, Runnable> later,
			Runnable changeLeader) {
		ZoneId zone = ZONES.get(this.random.nextInt(ZONES.size()));
		if (this.random.nextBoolean()) {
			long until = nowMillis + this.random.nextLong(MAX_CUT_MILLIS);
			workers.stream()
				.filter((worker) -> zone(worker.address).equals(zone))
				.forEach((worker) -> worker.cutInUntilMillis = Math.max(worker.cutInUntilMillis, until));
		}
		later.accept(nowMillis + this.random.nextLong(MAX_ORDER_DELAY_MILLIS), () -> reverse(zone));
		if (this.random.nextBoolean()) {
			later.accept(nowMillis + this.random.nextLong(2 * MAX_ORDER_DELAY_MILLIS), changeLeader);
		}
	}

	private void reverse(ZoneId zone) {
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
	@Override
	public void end() {
		this.ended = true;
		ZONES.forEach(this::withdraw);
	}

	// From now on the order may be in force.
	private void withdraw(ZoneId zone) {
		this.evacuatedMillis.remove(zone);
		this.pending.put(zone, new FleetCommand.WithdrawEvacuation(zone));
	}

	@Override
	public void run(long nowMillis) {
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

	@Override
	public void began(TaskId task, ModelWorker worker, long nowMillis) {
		ZoneId zone = zone(worker.address);
		Optional.ofNullable(this.evacuatedMillis.get(zone))
			.filter((since) -> nowMillis - since > EVACUATION_MILLIS)
			.ifPresent((since) -> this.checker
				.report("EVACUATED: " + task + " begins on " + worker.incarnation + ", " + zone + " since " + since));
	}

	@Override
	public int stored() {
		return this.stored;
	}

}
