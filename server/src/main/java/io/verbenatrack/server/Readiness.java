package io.verbenatrack.server;

import java.util.Optional;
import java.util.function.Supplier;

import io.verbenatrack.model.Problem;

/**
 * Tracks whether the load balancer may send callers to this instance.
 */
final class Readiness {

	private final Supplier<Optional<Problem>> admissionProblem;

	private volatile Optional<String> notReadyReason = Optional.of("The instance is starting. Wait until it is ready.");

	Readiness(Supplier<Optional<Problem>> admissionProblem) {
		this.admissionProblem = admissionProblem;
	}

	/**
	 * Returns why the instance is not ready.
	 * @return the reason with its remedy, or empty if the instance is ready
	 */
	Optional<String> problem() {
		return this.notReadyReason.or(() -> this.admissionProblem.get().map(Problem::toString));
	}

	void ready() {
		this.notReadyReason = Optional.empty();
	}

	void shuttingDown() {
		this.notReadyReason = Optional.of("The instance is shutting down. Use another instance.");
	}

}
