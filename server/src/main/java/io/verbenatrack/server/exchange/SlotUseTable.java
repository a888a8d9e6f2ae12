package io.verbenatrack.server.exchange;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenatrack.model.TargetId;
import io.verbenatrack.routing.SlotUse;

/**
 * Holds the newest use of each target's slots that this instance has to tell.
 */
public final class SlotUseTable {

	private final Map<TargetId, SlotUse> latestUses = new ConcurrentHashMap<>();

	/**
	 * Takes a newer use.
	 * @param use the use of one target
	 */
	public void update(SlotUse use) {
		this.latestUses.put(use.target(), use);
	}

	List<SlotUse> all() {
		return List.copyOf(this.latestUses.values());
	}

}
