package io.verbenatrack.fleet.state;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.verbenatrack.model.ZoneId;

/**
 * The availability zones that operators evacuate, and those whose evacuation they
 * withdrew last. Not thread-safe.
 */
public final class EvacuationState {

	/**
	 * The maximum number of zones that are evacuated at a time, far above the zones of a
	 * deployment. Without zones in the settings, orders may name any zone.
	 */
	public static final int MAX_EVACUATED = 64;

	private static final int MAX_WITHDRAWN = 64;

	private final Set<ZoneId> evacuated = new LinkedHashSet<>();

	private final Set<ZoneId> withdrawn = new LinkedHashSet<>();

	void evacuate(ZoneId zone) {
		this.withdrawn.remove(zone);
		this.evacuated.add(zone);
	}

	void withdraw(ZoneId zone) {
		this.evacuated.remove(zone);
		this.withdrawn.remove(zone);
		this.withdrawn.add(zone);
		if (this.withdrawn.size() > MAX_WITHDRAWN) {
			this.withdrawn.remove(this.withdrawn.iterator().next());
		}
	}

	void restore(List<ZoneId> evacuatedZones, List<ZoneId> withdrawnZones) {
		this.evacuated.clear();
		this.withdrawn.clear();
		this.evacuated.addAll(evacuatedZones);
		this.withdrawn.addAll(withdrawnZones);
	}

	/**
	 * Returns whether a zone is evacuated.
	 * @param zone the zone
	 * @return whether no worker of the zone may begin a task
	 */
	public boolean evacuated(ZoneId zone) {
		return this.evacuated.contains(zone);
	}

	/**
	 * Returns whether an order about a zone was stored. Without the withdrawn zones, a
	 * new leader that has no report of a worker yet would refuse the repetition of an
	 * order that was accepted.
	 * @param zone the zone
	 * @return whether the zone is evacuated, or its evacuation was withdrawn and that
	 * order is among the latest
	 */
	public boolean ordered(ZoneId zone) {
		return this.evacuated.contains(zone) || this.withdrawn.contains(zone);
	}

	/**
	 * Returns the evacuated zones, in the order in which their evacuation was stored.
	 * @return a live view of the zones
	 */
	public Set<ZoneId> evacuated() {
		return Collections.unmodifiableSet(this.evacuated);
	}

	/**
	 * Returns the zones whose evacuation was withdrawn, in the order of the withdrawal.
	 * @return a live view of the zones
	 */
	public Set<ZoneId> withdrawn() {
		return Collections.unmodifiableSet(this.withdrawn);
	}

}
