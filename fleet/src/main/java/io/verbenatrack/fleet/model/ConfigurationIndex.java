package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.ServiceId;

/**
 * Indexes the queues and accounts of one configuration. Every call and every waiting job
 * look them up, and a configuration may have thousands, so a linear search is too slow.
 */
public final class ConfigurationIndex {

	private final FleetConfiguration configuration;

	/**
	 * Keyed by lower-case host; the queues of a host are sorted by descending prefix
	 * length.
	 */
	private final Map<String, List<Queue>> queuesByHost = new HashMap<>();

	private final Map<String, Queue> queuesByName = new HashMap<>();

	private final Map<String, FleetAccount> accountsByKey = new HashMap<>();

	private final Map<AccountId, FleetAccount> accounts = new HashMap<>();

	private final Set<ServiceId> services = new HashSet<>();

	/**
	 * Creates an index.
	 * @param configuration the configuration to index
	 */
	public ConfigurationIndex(FleetConfiguration configuration) {
		this.configuration = configuration;
		for (Queue queue : configuration.queues()) {
			this.queuesByName.put(queue.name(), queue);
			this.queuesByHost.computeIfAbsent(lowerCase(queue.host()), (host) -> new ArrayList<>()).add(queue);
		}
		Comparator<Queue> longestFirst = Comparator.comparingInt((Queue queue) -> -queue.pathPrefix().length());
		this.queuesByHost.values().forEach((queues) -> queues.sort(longestFirst));
		configuration.pools().forEach((pool) -> this.services.add(pool.service()));
		for (FleetAccount account : configuration.accounts()) {
			this.accounts.put(account.account(), account);
			account.keys().forEach((key) -> this.accountsByKey.put(key, account));
		}
	}

	private static String lowerCase(String host) {
		return host.toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the indexed configuration.
	 * @return the configuration
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the queue that a call is addressed to: among the queues of the host, the
	 * one with the longest prefix of the path.
	 * @param host the host in the call, in any case
	 * @param path the path in the call
	 * @return the queue, or empty when none matches
	 */
	public Optional<Queue> route(String host, String path) {
		for (Queue queue : this.queuesByHost.getOrDefault(lowerCase(host), List.of())) {
			if (path.startsWith(queue.pathPrefix())) {
				return Optional.of(queue);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the queue with a name.
	 * @param name the name
	 * @return the queue, or empty when there is none
	 */
	public Optional<Queue> queue(String name) {
		return Optional.ofNullable(this.queuesByName.get(name));
	}

	/**
	 * Returns whether the configuration has a worker pool for a service.
	 * @param service the service
	 * @return whether its workers may take part in the fleet
	 */
	public boolean hasService(ServiceId service) {
		return this.services.contains(service);
	}

	/**
	 * Returns the account that an API key belongs to.
	 * @param key the key
	 * @return the account, or empty when the key is unknown
	 */
	public Optional<FleetAccount> accountOfKey(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * Returns the number of accelerators guaranteed to an account's jobs of priority 0.
	 * @param account the account
	 * @return the number of accelerators, 0 when the configuration lacks the account
	 */
	public int guaranteedAccelerators(AccountId account) {
		FleetAccount known = this.accounts.get(account);
		return (known != null) ? known.guaranteedAccelerators() : 0;
	}

}
