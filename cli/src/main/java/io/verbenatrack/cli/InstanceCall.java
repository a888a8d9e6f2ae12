package io.verbenatrack.cli;

/**
 * A call to any instance; a resend of the same call is harmless.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param body the body, empty for none
 * @param mutating whether it changes anything
 */
record InstanceCall(String method, String path, String body, boolean mutating) {

	static InstanceCall read(String path) {
		return new InstanceCall("GET", path, "", false);
	}

}
