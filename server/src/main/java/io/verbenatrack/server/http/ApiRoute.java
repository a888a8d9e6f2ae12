package io.verbenatrack.server.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A method and a path of the HTTP API, and what answers them.
 *
 * @param method the HTTP method
 * @param segments the parts of the path; an open part is written as {@code {}}
 * @param action answers the call
 */
public record ApiRoute(String method, List<String> segments,
		Function<ApiRequest, CompletableFuture<ApiResponse>> action) {

	private static final String VARIABLE = "{}";

	/**
	 * Creates a route.
	 * @param method the HTTP method
	 * @param path the path, with {@code {}} for each open part
	 * @param action answers the call
	 * @return the route
	 */
	public static ApiRoute of(String method, String path, Function<ApiRequest, CompletableFuture<ApiResponse>> action) {
		return new ApiRoute(method, List.of(path.substring(1).split("/")), action);
	}

	/**
	 * Matches a path, whatever the method.
	 * @param path the parts of the path
	 * @return the open parts, or empty when the path differs
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
