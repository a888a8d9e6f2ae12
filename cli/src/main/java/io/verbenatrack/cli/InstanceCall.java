package io.verbenatrack.cli;

/**
 * A call to an instance. Every call is idempotent, so it may be sent again.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param body the body, or empty when the call has none
 * @param mutating whether the call modifies state
 */
record InstanceCall(String method, String path, String body, boolean mutating) {

	static InstanceCall read(String path) {
		return new InstanceCall("GET", path, "", false);
	}

}
