package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ServiceId;

/**
 * Reviews a configuration before an operator sends it.
 */
public final class ConfigurationReview {

	private final FleetConfiguration configuration;

	private final ConfigurationIndex index;

	private final boolean anyKey;

	private final List<ConfigurationFinding> findings = new ArrayList<>();

	private ConfigurationReview(FleetConfiguration configuration) {
		this.configuration = configuration;
		this.index = new ConfigurationIndex(configuration);
		this.anyKey = configuration.accounts().stream().anyMatch((account) -> !account.keys().isEmpty());
	}

	/**
	 * Reviews a configuration.
	 * @param configuration the configuration
	 * @param inForce the configuration in force to compare with, if known; it is not
	 * reviewed itself
	 * @param accelerators the number of accelerators of the fleet, if known
	 * @return the findings: errors, entries that never match, contradictions, differences
	 */
	public static List<ConfigurationFinding> review(FleetConfiguration configuration,
			Optional<FleetConfiguration> inForce, OptionalLong accelerators) {
		ConfigurationReview review = new ConfigurationReview(configuration);
		ConfigurationValidator.problems(configuration)
			.forEach((problem) -> review.findings.add(new ConfigurationFinding.Invalid(problem)));
		configuration.queues().forEach(review::reviewMatching);
		review.reviewServices();
		review.reviewAccounts();
		configuration.queues().forEach(review::reviewObjective);
		accelerators.ifPresent(review::reviewGuarantees);
		inForce.ifPresent(
				(known) -> review.findings.addAll(new ConfigurationComparison(known, configuration).differences()));
		return List.copyOf(review.findings);
	}

	// Two queues with one place, and a queue without a service, are errors of
	// ConfigurationValidator and are not reported a second time.
	private void reviewMatching(Queue queue) {
		if (!queue.pathPrefix().startsWith("/")) {
			neverMatches("The queue " + queue.name() + " has the prefix " + queue.pathPrefix()
					+ ", but the path of every call begins with '/'.", "Begin the prefix with '/'.");
		}
		if (queue.host().indexOf(':') >= 0) {
			neverMatches(
					"The queue " + queue.name() + " has the host " + queue.host()
							+ ", but the host of a call is compared without its port.",
					"Give the host without a port.");
		}
		if (!queue.open() && !this.anyKey) {
			neverMatches("The queue " + queue.name() + " requires an API key, but no client account has one.",
					"Give a client account a key, or exempt the queue from keys.");
		}
	}

	private void reviewServices() {
		Set<ServiceId> used = this.configuration.queues().stream().map(Queue::service).collect(Collectors.toSet());
		Set<ServiceId> seen = new HashSet<>();
		for (WorkerPool pool : this.configuration.pools()) {
			if (!seen.add(pool.service())) {
				neverMatches("The service " + pool.service() + " is listed more than once.",
						"Keep one of its entries.");
			}
			else if (!used.contains(pool.service())) {
				neverMatches("No queue routes to the service " + pool.service() + ", so its workers get no job.",
						"Add a queue for the service, or remove the service.");
			}
		}
	}

	private void reviewAccounts() {
		Set<AccountId> seen = new HashSet<>();
		for (FleetAccount account : this.configuration.accounts()) {
			if (!seen.add(account.account())) {
				neverMatches(
						"The client account " + account.account()
								+ " is listed more than once, and only the guarantee of its last entry applies.",
						"Merge its entries.");
			}
			if (account.keys().isEmpty()) {
				neverMatches(
						"The client account " + account.account() + " has no API key, so no call can be made with it.",
						"Give the client account a key, or remove it.");
			}
		}
	}

	private void reviewObjective(Queue queue) {
		// A missing time limit is an error of ConfigurationValidator.
		if (queue.timeoutMillis() > 0 && queue.timeoutMillis() < queue.latencyMillis()) {
			contradiction(
					"The queue " + queue.name() + " has a time limit of " + queue.timeoutMillis()
							+ " ms, which is below its latency objective of " + queue.latencyMillis() + " ms.",
					"Raise the time limit, or lower the latency objective.");
		}
		if (queue.stretch() < 1) {
			contradiction(
					"The queue " + queue.name() + " has a stretch of " + queue.stretch()
							+ ", so its jobs would have to end before their critical path can.",
					"Give a stretch of at least 1.");
		}
	}

	private void reviewGuarantees(long accelerators) {
		long total = 0;
		Set<AccountId> seen = new HashSet<>();
		for (FleetAccount entry : this.configuration.accounts()) {
			if (!seen.add(entry.account())) {
				continue;
			}
			int guaranteed = this.index.guaranteedAccelerators(entry.account());
			total += guaranteed;
			if (guaranteed > accelerators) {
				contradiction(
						"The client account " + entry.account() + " is guaranteed " + guaranteed
								+ " accelerators, but the fleet has " + accelerators + ".",
						"Lower its guarantee, or correct the number of accelerators.");
			}
		}
		if (total > accelerators) {
			contradiction(
					"The client accounts are guaranteed " + total + " accelerators together, but the fleet has "
							+ accelerators + ".",
					"Lower some of the guarantees, or correct the number of accelerators.");
		}
	}

	private void neverMatches(String message, String remedy) {
		this.findings.add(new ConfigurationFinding.NeverMatches(new Problem(ProblemKind.INVALID, message, remedy)));
	}

	private void contradiction(String message, String remedy) {
		this.findings.add(new ConfigurationFinding.Contradiction(new Problem(ProblemKind.INVALID, message, remedy)));
	}

}
