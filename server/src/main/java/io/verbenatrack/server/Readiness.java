package io.verbenatrack.server;

import java.util.Optional;
import java.util.function.Supplier;

import io.verbenatrack.model.Problem;

/**
 * Whether the balancer may send callers to this instance.
 */
final class Readiness {

	private final Supplier<Optional<Problem>> lease;

	private volatile Optional<String> phase = Optional.of("The instance is starting. Wait until it is ready.");

	Readiness(Supplier<Optional<Problem>> lease) {
		this.lease = lease;
	}

	/**
	 * Why the instance is not ready.
	 * @return the reason with its remedy, or empty when it is ready
	 */
	Optional<String> problem() {
		return this.phase.or(() -> this.lease.get().map(Problem::toString));
	}

	void ready() {
		this.phase = Optional.empty();
	}

	void leaving() {
		this.phase = Optional.of("The instance is shutting down. Use another instance.");
	}

}
