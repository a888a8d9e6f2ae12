package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.model.AccountId;

/**
 * Finds queues and accounts of one configuration without a search through all of them: a
 * call and each waiting job look them up, and a configuration may have thousands.
 */
public final class ConfigurationIndex {

	private final FleetConfiguration configuration;

	/** By host in lower case, the longest prefix first. */
	private final Map<String, List<Queue>> queuesByHost = new HashMap<>();

	private final Map<String, Queue> queuesByName = new HashMap<>();

	private final Map<String, FleetAccount> accountsByKey = new HashMap<>();

	private final Map<AccountId, FleetAccount> accounts = new HashMap<>();

	/**
	 * Indexes a configuration.
	 * @param configuration the configuration
	 */
	public ConfigurationIndex(FleetConfiguration configuration) {
		this.configuration = configuration;
		for (Queue queue : configuration.queues()) {
			this.queuesByName.put(queue.name(), queue);
			this.queuesByHost.computeIfAbsent(lowerCase(queue.host()), (host) -> new ArrayList<>()).add(queue);
		}
		Comparator<Queue> longestFirst = Comparator.comparingInt((Queue queue) -> -queue.pathPrefix().length());
		this.queuesByHost.values().forEach((queues) -> queues.sort(longestFirst));
		for (FleetAccount account : configuration.accounts()) {
			this.accounts.put(account.account(), account);
			account.keys().forEach((key) -> this.accountsByKey.put(key, account));
		}
	}

	private static String lowerCase(String host) {
		return host.toLowerCase(Locale.ROOT);
	}

	/**
	 * The configuration that is indexed.
	 * @return the configuration
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * The queue that a call is for: of those of the host, the one with the longest prefix
	 * that the path begins with.
	 * @param host the host that the caller named
	 * @param path the path
	 * @return the queue, if there is one
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
	 * The queue of a name.
	 * @param name the name
	 * @return the queue, if there is one
	 */
	public Optional<Queue> queue(String name) {
		return Optional.ofNullable(this.queuesByName.get(name));
	}

	/**
	 * The account that a key belongs to.
	 * @param key the key
	 * @return the account, if there is one
	 */
	public Optional<FleetAccount> accountOfKey(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * How many accelerators an account's jobs of priority 0 can always have.
	 * @param account the account
	 * @return the number, 0 for an account that the configuration does not have
	 */
	public int guaranteedAccelerators(AccountId account) {
		FleetAccount known = this.accounts.get(account);
		return (known != null) ? known.guaranteedAccelerators() : 0;
	}

}
