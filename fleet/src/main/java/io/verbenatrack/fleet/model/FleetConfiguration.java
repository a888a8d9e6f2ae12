package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * A whole configuration of the fleet.
 *
 * @param version grows with each change
 * @param queues where callers submit jobs
 * @param pools the services that run them
 * @param limits what callers may send
 * @param accounts the client accounts
 */
public record FleetConfiguration(long version, List<Queue> queues, List<WorkerPool> pools, CallLimits limits,
		List<FleetAccount> accounts) {

	public FleetConfiguration {
		queues = List.copyOf(queues);
		pools = List.copyOf(pools);
		accounts = List.copyOf(accounts);
	}

}
