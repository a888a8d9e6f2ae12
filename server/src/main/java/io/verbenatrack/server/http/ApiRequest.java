package io.verbenatrack.server.http;

import java.util.List;
import java.util.Optional;

/**
 * A request to the HTTP API whose body has been read completely.
 *
 * @param variables the values of the path variables, in path order
 * @param query the query parameters
 * @param body the body, empty if there is none
 */
public record ApiRequest(List<String> variables, QueryParameters query, byte[] body) {

	/**
	 * Returns the first path variable.
	 * @return its value
	 */
	public String variable() {
		return this.variables.getFirst();
	}

	/**
	 * The query parameters of a request.
	 */
	public interface QueryParameters {

		/**
		 * Returns the value of a parameter.
		 * @param name its name
		 * @return the value, or empty if the parameter is absent
		 */
		Optional<String> value(String name);

	}

}
