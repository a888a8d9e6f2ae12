package io.verbenatrack.fleet.model;

import java.util.List;

/**
 * A complete configuration of the fleet.
 *
 * @param version the version, which increases with each change
 * @param queues the queues to which callers submit jobs
 * @param pools the worker pools that run the jobs
 * @param limits the limits on calls
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
