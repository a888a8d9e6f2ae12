package io.verbenatrack.fleet.model;

import java.util.HashSet;
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
		Set<ServiceId> services = configuration.pools().stream().map(WorkerPool::service).collect(Collectors.toSet());
		Set<String> routes = new HashSet<>();
		Set<String> names = new HashSet<>();
		for (Queue queue : configuration.queues()) {
			if (!services.contains(queue.service())) {
				return invalid("queue " + queue.name() + " names the unknown service " + queue.service(),
						"Add the service or correct its name.");
			}
			if (!routes.add(queue.host().toLowerCase(java.util.Locale.ROOT) + queue.pathPrefix())) {
				return invalid("two queues share host " + queue.host() + " and prefix " + queue.pathPrefix(),
						"Give each queue a place of its own.");
			}
			if (!names.add(queue.name())) {
				return invalid("two queues are called " + queue.name(), "Give each queue a name of its own.");
			}
			if (queue.timeoutMillis() <= 0) {
				return invalid("queue " + queue.name() + " has no timeout", "Set a timeout above 0.");
			}
		}
		Set<String> keys = new HashSet<>();
		for (FleetAccount account : configuration.accounts()) {
			for (String key : account.keys()) {
				if (!keys.add(key)) {
					return invalid("two client accounts share a key, one of them is " + account.account(),
							"Give each client account keys of its own.");
				}
			}
		}
		return Optional.empty();
	}

	private static Optional<Problem> invalid(String message, String remedy) {
		return Optional.of(new Problem(ProblemKind.INVALID, message, remedy));
	}

}
