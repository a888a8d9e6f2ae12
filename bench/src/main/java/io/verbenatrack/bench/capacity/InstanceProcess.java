package io.verbenatrack.bench.capacity;

import java.net.URI;

/**
 * An instance that runs in a separate process.
 *
 * @param pid its process id
 * @param http the base URL of its HTTP server
 */
public record InstanceProcess(long pid, URI http) {

	static InstanceProcess parse(String text) {
		String[] parts = text.split("@", 2);
		return new InstanceProcess(Long.parseLong(parts[0]), URI.create(parts[1]));
	}

}
