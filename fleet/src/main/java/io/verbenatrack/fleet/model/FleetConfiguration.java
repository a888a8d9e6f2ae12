package io.verbenatrack.fleet.model;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

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

	/**
	 * The queue that a call is for: of those of the host, the one with the longest prefix
	 * that the path begins with.
	 * @param host the host that the caller named
	 * @param path the path
	 * @return the queue, if there is one
	 */
	public Optional<Queue> route(String host, String path) {
		return this.queues.stream()
			.filter((queue) -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix()))
			.max(Comparator.comparingInt((queue) -> queue.pathPrefix().length()));
	}

	/**
	 * The queue of a name.
	 * @param name the name
	 * @return the queue, if there is one
	 */
	public Optional<Queue> queue(String name) {
		return this.queues.stream().filter((queue) -> queue.name().equals(name)).findFirst();
	}

	/**
	 * The account that a key belongs to.
	 * @param key the key
	 * @return the account, if there is one
	 */
	public Optional<FleetAccount> accountOfKey(String key) {
		return this.accounts.stream().filter((account) -> account.keys().contains(key)).findFirst();
	}

}
