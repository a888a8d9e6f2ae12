package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * The accelerators that each guaranteed gang is held on; disjoint, so that all guarantees
 * can be used at once.
 */
public final class GuaranteeRegions {

	private final NavigableMap<RegionKey, GangPlacement> regions = new TreeMap<>();

	private final Map<WorkerId, Map<RegionKey, Slot>> byWorker = new HashMap<>();

	private final List<Consumer<WorkerId>> listeners = new ArrayList<>();

	/**
	 * Calls a listener with each worker whose regions change from now on.
	 * @param listener the listener
	 */
	public void addListener(Consumer<WorkerId> listener) {
		this.listeners.add(listener);
	}

	void bind(SchedulingDecision.BindGuarantee bind) {
		RegionKey key = new RegionKey(bind.account(), bind.guarantee(), bind.gang());
		GangPlacement before = this.regions.remove(key);
		if (before != null) {
			before.slots().forEach((slot) -> this.byWorker.get(slot.worker()).remove(key));
			before.slots().forEach((slot) -> notifyOf(slot.worker()));
		}
		if (bind.region().slots().isEmpty()) {
			return;
		}
		this.regions.put(key, bind.region());
		for (Slot slot : bind.region().slots()) {
			this.byWorker.computeIfAbsent(slot.worker(), (id) -> new TreeMap<>()).put(key, slot);
			notifyOf(slot.worker());
		}
	}

	private void notifyOf(WorkerId worker) {
		this.listeners.forEach((listener) -> listener.accept(worker));
	}

	List<SchedulingDecision> replay() {
		List<SchedulingDecision> decisions = new ArrayList<>(this.regions.size());
		this.regions.forEach((key, region) -> decisions
			.add(new SchedulingDecision.BindGuarantee(key.account(), key.guarantee(), key.gang(), region)));
		return decisions;
	}

	/**
	 * The region of one guaranteed gang.
	 * @param key the gang
	 * @return the accelerators, if the fleet has them
	 */
	public Optional<GangPlacement> region(RegionKey key) {
		return Optional.ofNullable(this.regions.get(key));
	}

	/**
	 * Every bound gang.
	 * @return the gangs in order
	 */
	public Collection<RegionKey> keys() {
		return Collections.unmodifiableSet(this.regions.keySet());
	}

	/**
	 * The regions of one account.
	 * @param account the account
	 * @return the accelerators of each of its guaranteed gangs
	 */
	public Map<RegionKey, GangPlacement> of(AccountId account) {
		return this.regions.subMap(new RegionKey(account, 0, 0), true,
				new RegionKey(account, Integer.MAX_VALUE, Integer.MAX_VALUE), true);
	}

	/**
	 * The parts of regions on a worker.
	 * @param worker the worker
	 * @return the slot of each gang that has one there
	 */
	public Map<RegionKey, Slot> on(WorkerId worker) {
		return Collections.unmodifiableMap(this.byWorker.getOrDefault(worker, Map.of()));
	}

	/**
	 * The accelerators of a worker that lie in regions.
	 * @param worker the worker
	 * @return a bit for each
	 */
	public long mask(WorkerId worker) {
		long mask = 0;
		for (Slot slot : on(worker).values()) {
			mask |= AcceleratorMask.of(slot);
		}
		return mask;
	}

	/**
	 * The gang whose region holds a whole placement, if the account has one.
	 * @param account the account
	 * @param placement the accelerators
	 * @return the gang
	 */
	public Optional<RegionKey> covering(AccountId account, GangPlacement placement) {
		Slot first = placement.slots().getFirst();
		for (Map.Entry<RegionKey, Slot> entry : on(first.worker()).entrySet()) {
			RegionKey key = entry.getKey();
			if (key.account().equals(account) && contains(this.regions.get(key), placement)) {
				return Optional.of(key);
			}
		}
		return Optional.empty();
	}

	/**
	 * Whether a region holds a whole placement.
	 * @param region the region
	 * @param placement the accelerators
	 * @return whether all of them lie in the region
	 */
	public static boolean contains(GangPlacement region, GangPlacement placement) {
		for (Slot slot : placement.slots()) {
			if (region.slots().stream().noneMatch((part) -> contains(part, slot))) {
				return false;
			}
		}
		return true;
	}

	private static boolean contains(Slot outer, Slot inner) {
		long rest = AcceleratorMask.of(inner) & ~AcceleratorMask.of(outer);
		return outer.worker().equals(inner.worker()) && rest == 0;
	}

}
