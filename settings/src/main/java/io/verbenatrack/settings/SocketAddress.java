package io.verbenatrack.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address or host name with a port.
 *
 * @param host the IP address or host name
 * @param port the port; 0 selects any free port
 */
public record SocketAddress(String host, int port) {

	/** The description of the format in error messages. */
	public static final String REMEDY = "Write an address and a port from 0 to 65535, such as 127.0.0.1:8080.";

	private static final Pattern PATTERN = Pattern
		.compile("([A-Za-z0-9.-]{1,253}|\\[[0-9a-fA-F:.]{2,45}])[:](\\d{1,5})");

	private static final int MAXIMUM_PORT = 65535;

	/**
	 * Parses an address.
	 * @param text the text, such as 10.0.0.1:8080 or [::1]:8080
	 * @return the address, or empty when the text is not one
	 */
	public static Optional<SocketAddress> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAXIMUM_PORT) {
			return Optional.empty();
		}
		return Optional.of(new SocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
	}

	/**
	 * Returns whether two listeners on these addresses would conflict.
	 * @param other the other address
	 * @return whether the addresses are equal and the port is fixed
	 */
	public boolean overlaps(SocketAddress other) {
		return this.port != 0 && equals(other);
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
