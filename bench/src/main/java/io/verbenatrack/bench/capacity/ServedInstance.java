package io.verbenatrack.bench.capacity;

import java.net.URI;

/**
 * A running instance in a process of its own.
 *
 * @param pid its process id
 * @param http where it takes HTTP
 */
public record ServedInstance(long pid, URI http) {

	static ServedInstance parse(String text) {
		String[] parts = text.split("@", 2);
		return new ServedInstance(Long.parseLong(parts[0]), URI.create(parts[1]));
	}

}
