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
 * The region of accelerators assigned to each guaranteed gang. Regions are disjoint, so
 * that all guarantees can be used at the same time.
 */
public final class GuaranteeRegions {

	private final NavigableMap<RegionKey, GangPlacement> regions = new TreeMap<>();

	private final Map<WorkerId, Map<RegionKey, Slot>> byWorker = new HashMap<>();

	private final List<Consumer<WorkerId>> listeners = new ArrayList<>();

	/**
	 * Registers a listener that is called with each worker whose regions change.
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
			before.slots().forEach((slot) -> notifyListeners(slot.worker()));
		}
		if (bind.region().slots().isEmpty()) {
			return;
		}
		this.regions.put(key, bind.region());
		for (Slot slot : bind.region().slots()) {
			this.byWorker.computeIfAbsent(slot.worker(), (id) -> new TreeMap<>()).put(key, slot);
			notifyListeners(slot.worker());
		}
	}

	private void notifyListeners(WorkerId worker) {
		this.listeners.forEach((listener) -> listener.accept(worker));
	}

	List<SchedulingDecision> replay() {
		List<SchedulingDecision> decisions = new ArrayList<>(this.regions.size());
		this.regions.forEach((key, region) -> decisions
			.add(new SchedulingDecision.BindGuarantee(key.account(), key.guarantee(), key.gang(), region)));
		return decisions;
	}

	/**
	 * Returns the region of a guaranteed gang.
	 * @param key the gang
	 * @return the accelerators, empty when the gang has no region
	 */
	public Optional<GangPlacement> region(RegionKey key) {
		return Optional.ofNullable(this.regions.get(key));
	}

	/**
	 * Returns every guaranteed gang that has a region.
	 * @return the gangs in order
	 */
	public Collection<RegionKey> keys() {
		return Collections.unmodifiableSet(this.regions.keySet());
	}

	/**
	 * Returns the regions of one account.
	 * @param account the account
	 * @return the region of each of its guaranteed gangs that has one
	 */
	public Map<RegionKey, GangPlacement> ofAccount(AccountId account) {
		return this.regions.subMap(new RegionKey(account, 0, 0), true,
				new RegionKey(account, Integer.MAX_VALUE, Integer.MAX_VALUE), true);
	}

	/**
	 * Returns the parts of regions that lie on a worker.
	 * @param worker the worker
	 * @return the slot of each gang that has one there
	 */
	public Map<RegionKey, Slot> slotsOn(WorkerId worker) {
		return Collections.unmodifiableMap(this.byWorker.getOrDefault(worker, Map.of()));
	}

	/**
	 * Returns the mask of the accelerators of a worker that lie in regions.
	 * @param worker the worker
	 * @return a mask with a bit for each accelerator
	 */
	public long mask(WorkerId worker) {
		long mask = 0;
		for (Slot slot : slotsOn(worker).values()) {
			mask |= AcceleratorMask.of(slot);
		}
		return mask;
	}

	/**
	 * Returns the guaranteed gang of an account whose region contains a placement.
	 * @param account the account
	 * @param placement the accelerators
	 * @return the gang, empty when no region of the account contains the placement
	 */
	public Optional<RegionKey> containing(AccountId account, GangPlacement placement) {
		Slot first = placement.slots().getFirst();
		for (Map.Entry<RegionKey, Slot> entry : slotsOn(first.worker()).entrySet()) {
			RegionKey key = entry.getKey();
			if (key.account().equals(account) && contains(this.regions.get(key), placement)) {
				return Optional.of(key);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether a region contains a placement.
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
