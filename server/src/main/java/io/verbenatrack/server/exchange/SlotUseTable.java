package io.verbenatrack.server.exchange;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenatrack.model.TargetId;
import io.verbenatrack.routing.SlotUse;

/**
 * Holds the latest slot use of each target for reporting to the other instances.
 */
public final class SlotUseTable {

	private final Map<TargetId, SlotUse> latestUses = new ConcurrentHashMap<>();

	/**
	 * Replaces the slot use of a target.
	 * @param use the new slot use
	 */
	public void update(SlotUse use) {
		this.latestUses.put(use.target(), use);
	}

	List<SlotUse> all() {
		return List.copyOf(this.latestUses.values());
	}

}
