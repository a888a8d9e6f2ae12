package io.verbenatrack.server.http;

import java.util.List;
import java.util.Optional;

/**
 * A call of the HTTP API, its body read whole.
 *
 * @param variables the parts of the path that the route leaves open, in order
 * @param query reads a parameter of the query
 * @param body the body, empty when there is none
 */
public record ApiRequest(List<String> variables, QueryParameters query, byte[] body) {

	/**
	 * The first open part of the path.
	 * @return the part
	 */
	public String variable() {
		return this.variables.getFirst();
	}

	/**
	 * Reads parameters of the query.
	 */
	public interface QueryParameters {

		/**
		 * Reads one parameter.
		 * @param name its name
		 * @return its value, if it is there
		 */
		Optional<String> value(String name);

	}

}
