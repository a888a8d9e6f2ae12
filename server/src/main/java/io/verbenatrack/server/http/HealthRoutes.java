package io.verbenatrack.server.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Liveness and readiness probes for the platform that runs the instance.
 */
public final class HealthRoutes {

	private static final int HTTP_OK = 200;

	private static final int HTTP_UNAVAILABLE = 503;

	private final Supplier<Optional<String>> problem;

	/**
	 * Creates the routes.
	 * @param problem returns why the instance is not ready, or empty if it is ready
	 */
	public HealthRoutes(Supplier<Optional<String>> problem) {
		this.problem = problem;
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("GET", "/healthz", (request) -> completed(ApiResponse.text(HTTP_OK, "alive\n"))),
				ApiRoute.of("GET", "/readyz", (request) -> completed(readiness())));
	}

	private ApiResponse readiness() {
		return this.problem.get()
			.map((reason) -> ApiResponse.text(HTTP_UNAVAILABLE, reason + "\n"))
			.orElseGet(() -> ApiResponse.text(HTTP_OK, "ready\n"));
	}

	private static CompletableFuture<ApiResponse> completed(ApiResponse answer) {
		return CompletableFuture.completedFuture(answer);
	}

}
