package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;

/**
 * Compares a configuration with the one in force. Entries are matched by name; their
 * order has no effect and is not compared.
 */
final class ConfigurationComparison {

	private static final List<Field<Queue>> QUEUE_FIELDS = List.of(new Field<>("host", Queue::host),
			new Field<>("prefix", Queue::pathPrefix), new Field<>("service", Queue::service),
			new Field<>("priority", Queue::priority), new Field<>("attempts", Queue::attempts),
			new Field<>("stretch", Queue::stretch), new Field<>("latency objective in ms", Queue::latencyMillis),
			new Field<>("time limit in ms", Queue::timeoutMillis), new Field<>("exempt from keys", Queue::open));

	private static final List<Field<WorkerPool>> POOL_FIELDS = List
		.of(new Field<>("workers enforce their capacity", WorkerPool::enforcesCapacity));

	private static final List<Field<FleetAccount>> ACCOUNT_FIELDS = List
		.of(new Field<>("guaranteed accelerators", FleetAccount::guaranteedAccelerators));

	private static final List<Field<CallLimits>> LIMIT_FIELDS = List.of(
			new Field<>("header in bytes", CallLimits::headerBytes),
			new Field<>("body in bytes", CallLimits::bodyBytes),
			new Field<>("time limit of the header in ms", CallLimits::headerTimeoutMillis),
			new Field<>("idle time limit in ms", CallLimits::idleTimeoutMillis));

	private final FleetConfiguration inForce;

	private final FleetConfiguration configuration;

	private final List<ConfigurationFinding> findings = new ArrayList<>();

	/**
	 * Creates a comparison.
	 * @param inForce the configuration in force
	 * @param configuration the configuration that is to replace it
	 */
	ConfigurationComparison(FleetConfiguration inForce, FleetConfiguration configuration) {
		this.inForce = inForce;
		this.configuration = configuration;
	}

	/**
	 * Returns the differences.
	 * @return the findings; empty if the versions increase and nothing else differs
	 */
	List<ConfigurationFinding> differences() {
		if (this.configuration.version() <= this.inForce.version()) {
			this.findings
				.add(new ConfigurationFinding.StaleVersion(this.configuration.version(), this.inForce.version()));
		}
		compare(ConfigurationEntry.Kind.QUEUE, queues(this.inForce), queues(this.configuration), QUEUE_FIELDS);
		compare(ConfigurationEntry.Kind.SERVICE, pools(this.inForce), pools(this.configuration), POOL_FIELDS);
		Map<String, FleetAccount> accountsInForce = accounts(this.inForce);
		Map<String, FleetAccount> accounts = accounts(this.configuration);
		compare(ConfigurationEntry.Kind.ACCOUNT, accountsInForce, accounts, ACCOUNT_FIELDS);
		accounts.forEach((name, account) -> compareKeys(accountsInForce.get(name), account));
		compare(ConfigurationEntry.Kind.LIMITS, Map.of("", this.inForce.limits()),
				Map.of("", this.configuration.limits()), LIMIT_FIELDS);
		return this.findings;
	}

	private static Map<String, Queue> queues(FleetConfiguration configuration) {
		return byName(configuration.queues(), Queue::name, (first, last) -> last);
	}

	private static Map<String, WorkerPool> pools(FleetConfiguration configuration) {
		return byName(configuration.pools(), (pool) -> pool.service().value(), (first, last) -> last);
	}

	// As in ConfigurationIndex, all keys of an account that is listed twice are valid,
	// and the last guarantee applies.
	private static Map<String, FleetAccount> accounts(FleetConfiguration configuration) {
		return byName(configuration.accounts(), (account) -> account.account().value(), (first, last) -> {
			List<String> keys = new ArrayList<>(first.keys());
			keys.addAll(last.keys());
			return new FleetAccount(last.account(), keys, last.guaranteedAccelerators());
		});
	}

	private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name, BinaryOperator<T> merge) {
		Map<String, T> byName = new LinkedHashMap<>();
		entries.forEach((entry) -> byName.merge(name.apply(entry), entry, merge));
		return byName;
	}

	private <T> void compare(ConfigurationEntry.Kind kind, Map<String, T> before, Map<String, T> after,
			List<Field<T>> fields) {
		after.forEach((name, value) -> {
			ConfigurationEntry entry = new ConfigurationEntry(kind, name);
			if (!before.containsKey(name)) {
				this.findings.add(new ConfigurationFinding.Added(entry));
				return;
			}
			fields.forEach((field) -> compareField(entry, field, before.get(name), value));
		});
		before.keySet()
			.stream()
			.filter((name) -> !after.containsKey(name))
			.forEach((name) -> this.findings.add(new ConfigurationFinding.Removed(new ConfigurationEntry(kind, name))));
	}

	private <T> void compareField(ConfigurationEntry entry, Field<T> field, T before, T after) {
		String valueBefore = field.value().apply(before).toString();
		String valueAfter = field.value().apply(after).toString();
		if (!valueBefore.equals(valueAfter)) {
			this.findings.add(new ConfigurationFinding.Changed(entry, field.name(), valueBefore, valueAfter));
		}
	}

	private void compareKeys(FleetAccount before, FleetAccount after) {
		Set<String> removed = new HashSet<>((before != null) ? before.keys() : List.of());
		Set<String> added = new HashSet<>(after.keys());
		Set<String> kept = new HashSet<>(removed);
		kept.retainAll(added);
		removed.removeAll(kept);
		added.removeAll(kept);
		if (!added.isEmpty() || !removed.isEmpty()) {
			this.findings.add(new ConfigurationFinding.KeysChanged(after.account(), added.size(), removed.size()));
		}
	}

	/**
	 * A field that is compared.
	 *
	 * @param <T> the type of the entry
	 * @param name the name and unit of the field
	 * @param value reads the value
	 */
	private record Field<T>(String name, Function<T, Object> value) {

	}

}
