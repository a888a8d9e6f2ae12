package io.verbenatrack.fleet.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenatrack.fleet.state.EvacuationState;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.ZoneId;

/**
 * Decides whether the leader carries out the orders of operators to evacuate availability
 * zones. An order that was accepted is accepted again, also by a leader that no worker
 * has reported to.
 */
public final class EvacuationOrders {

	private final FleetState state;

	private final WorkerAvailability workers;

	private final Consumer<FleetEvent> events;

	EvacuationOrders(FleetState state, WorkerAvailability workers, Consumer<FleetEvent> events) {
		this.state = state;
		this.workers = workers;
		this.events = events;
	}

	/**
	 * Decides on an order to evacuate a zone.
	 * @param zone the zone
	 * @param settings the settings of this replica
	 * @param undecided the zones that are evacuated by orders which are not yet in the
	 * state
	 * @param waitedMillis how long the order has waited, in milliseconds
	 * @return why the order is refused, or empty if it is to be stored
	 */
	public Optional<EvacuationRefusal> evacuate(ZoneId zone, EvacuationSettings settings, Set<ZoneId> undecided,
			long waitedMillis) {
		Set<ZoneId> evacuated = new HashSet<>(this.state.evacuations().evacuated());
		evacuated.addAll(undecided);
		Optional<EvacuationRefusal> refusal = commonRefusal(zone, settings, undecided, waitedMillis);
		if (refusal.isEmpty() && !evacuated.contains(zone) && evacuated.size() >= EvacuationState.MAX_EVACUATED) {
			refusal = Optional.of(EvacuationRefusal.TOO_MANY_ZONES);
		}
		return recorded(refusal, zone, false, waitedMillis);
	}

	/**
	 * Decides on an order to withdraw the evacuation of a zone.
	 * @param zone the zone
	 * @param settings the settings of this replica
	 * @param undecided the zones that are evacuated by orders which are not yet in the
	 * state
	 * @param waitedMillis how long the order has waited, in milliseconds
	 * @return why the order is refused, or empty if it is to be stored
	 */
	public Optional<EvacuationRefusal> withdraw(ZoneId zone, EvacuationSettings settings, Set<ZoneId> undecided,
			long waitedMillis) {
		return recorded(commonRefusal(zone, settings, undecided, waitedMillis), zone, true, waitedMillis);
	}

	private Optional<EvacuationRefusal> commonRefusal(ZoneId zone, EvacuationSettings settings, Set<ZoneId> undecided,
			long waitedMillis) {
		if (waitedMillis > settings.maxWait().toMillis()) {
			return Optional.of(EvacuationRefusal.WAITED_TOO_LONG);
		}
		boolean known = settings.zones().isEmpty() || settings.zones().contains(zone)
				|| this.state.evacuations().ordered(zone) || undecided.contains(zone) || this.workers.hasWorkers(zone);
		return known ? Optional.empty() : Optional.of(EvacuationRefusal.UNKNOWN_ZONE);
	}

	private Optional<EvacuationRefusal> recorded(Optional<EvacuationRefusal> refusal, ZoneId zone, boolean withdrawal,
			long waitedMillis) {
		refusal.ifPresent((reason) -> this.events.accept(new FleetEvent.EvacuationRefused(zone, withdrawal, reason,
				waitedMillis, this.state.evacuations().evacuated().size())));
		return refusal;
	}

}
