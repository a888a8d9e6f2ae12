package io.verbenatrack.server;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether the balancer may send callers to this instance.
 */
final class Readiness {

	private final AtomicReference<Optional<String>> problem = new AtomicReference<>(
			Optional.of("The instance is starting. Wait until it is ready."));

	/**
	 * Why the instance is not ready.
	 * @return the reason with its remedy, or empty when it is ready
	 */
	Optional<String> problem() {
		return this.problem.get();
	}

	void ready() {
		this.problem.set(Optional.empty());
	}

	void leaving() {
		this.problem.set(Optional.of("The instance is shutting down. Use another instance."));
	}

}
