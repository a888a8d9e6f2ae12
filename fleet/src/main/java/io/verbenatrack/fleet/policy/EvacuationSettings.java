package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Set;

import io.verbenatrack.model.ZoneId;

/**
 * The settings of a control replica that concern evacuations.
 *
 * @param zones the availability zones of the deployment, empty if the settings name none
 * @param maxWait how long an operator repeats an order; one that has waited longer is
 * refused
 */
public record EvacuationSettings(Set<ZoneId> zones, Duration maxWait) {

	/** Accepts orders about any zone. */
	public static final EvacuationSettings DEFAULT = new EvacuationSettings(Set.of(), Duration.ofSeconds(5));

	public EvacuationSettings {
		zones = Set.copyOf(zones);
	}

}
