package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ServiceId;

/**
 * Validates configurations before they are adopted.
 */
public final class ConfigurationValidator {

	private ConfigurationValidator() {
	}

	/**
	 * Checks that services exist, that routes, names and keys are unique, and that
	 * time-outs are positive.
	 * @param configuration the configuration
	 * @return the first problem found, or empty when the configuration is valid
	 */
	public static Optional<Problem> validate(FleetConfiguration configuration) {
		return problems(configuration).stream().findFirst();
	}

	/**
	 * Checks the same as {@link #validate} and finds all problems.
	 * @param configuration the configuration
	 * @return the problems, empty when the configuration is valid
	 */
	public static List<Problem> problems(FleetConfiguration configuration) {
		List<Problem> problems = new ArrayList<>();
		Set<ServiceId> services = configuration.pools().stream().map(WorkerPool::service).collect(Collectors.toSet());
		Map<String, Queue> routes = new HashMap<>();
		Set<String> names = new HashSet<>();
		for (Queue queue : configuration.queues()) {
			if (!services.contains(queue.service())) {
				problems
					.add(invalid("The queue " + queue.name() + " names the unknown service " + queue.service() + ".",
							"Add the service or correct its name."));
			}
			Queue other = routes.putIfAbsent(queue.host().toLowerCase(Locale.ROOT) + queue.pathPrefix(), queue);
			if (other != null) {
				problems.add(invalid(
						"The queue " + queue.name() + " has the host " + queue.host() + " and the prefix "
								+ queue.pathPrefix() + " of the queue " + other.name() + ".",
						"Give each queue a place of its own."));
			}
			if (!names.add(queue.name())) {
				problems
					.add(invalid("Two queues are called " + queue.name() + ".", "Give each queue a name of its own."));
			}
			if (queue.timeoutMillis() <= 0) {
				problems.add(invalid("The queue " + queue.name() + " has no timeout.", "Set a timeout above 0."));
			}
		}
		Map<String, FleetAccount> accountsByKey = new HashMap<>();
		for (FleetAccount account : configuration.accounts()) {
			for (String key : account.keys()) {
				FleetAccount other = accountsByKey.putIfAbsent(key, account);
				if (other != null) {
					problems.add(invalid(
							"The client account " + account.account() + " has a key that the client account "
									+ other.account() + " lists before.",
							"Give each client account keys of its own, and list each key once."));
				}
			}
		}
		return problems;
	}

	private static Problem invalid(String message, String remedy) {
		return new Problem(ProblemKind.INVALID, message, remedy);
	}

}
