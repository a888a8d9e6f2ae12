package io.verbenatrack.server.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A route of the HTTP API.
 *
 * @param method the HTTP method
 * @param segments the path segments; {@code {}} stands for a path variable
 * @param action handles the request
 */
public record ApiRoute(String method, List<String> segments,
		Function<ApiRequest, CompletableFuture<ApiResponse>> action) {

	private static final String VARIABLE = "{}";

	/**
	 * Creates a route.
	 * @param method the HTTP method
	 * @param path the path, with {@code {}} for each path variable
	 * @param action handles the request
	 * @return the route
	 */
	public static ApiRoute of(String method, String path, Function<ApiRequest, CompletableFuture<ApiResponse>> action) {
		return new ApiRoute(method, List.of(path.substring(1).split("/")), action);
	}

	/**
	 * Matches a path regardless of the method.
	 * @param path the path segments
	 * @return the values of the path variables, or empty if the path does not match
	 */
	Optional<List<String>> match(List<String> path) {
		if (path.size() != this.segments.size()) {
			return Optional.empty();
		}
		List<String> variables = new ArrayList<>();
		for (int i = 0; i < path.size(); i++) {
			if (this.segments.get(i).equals(VARIABLE)) {
				variables.add(path.get(i));
			}
			else if (!this.segments.get(i).equals(path.get(i))) {
				return Optional.empty();
			}
		}
		return Optional.of(variables);
	}

}
