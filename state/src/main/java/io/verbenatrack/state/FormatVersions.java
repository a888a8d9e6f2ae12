package io.verbenatrack.state;

/**
 * Validates the format versions of commands and snapshots.
 */
public final class FormatVersions {

	private FormatVersions() {
	}

	/**
	 * Requires that this release supports a format version.
	 * @param what the kind of command or snapshot, used in the message
	 * @param found the version found
	 * @param known the newest supported version
	 * @throws IllegalStateException if the version is not supported
	 */
	public static void requireKnown(String what, int found, int known) {
		if (found < 1 || found > known) {
			throw new IllegalStateException(
					"The " + what + " has format " + found + ", but this release supports only formats 1 to " + known
							+ ". Start the newer release that wrote it.");
		}
	}

}
