package io.verbenatrack.state;

/**
 * Validates the format versions of commands and snapshots.
 */
public final class FormatVersions {

	private FormatVersions() {
	}

	/**
	 * Requires that this release supports a format version.
	 * @param subject the kind of command or snapshot, used in the message
	 * @param version the version found
	 * @param newestSupported the newest supported version
	 * @throws IllegalStateException if the version is not supported
	 */
	public static void requireSupported(String subject, int version, int newestSupported) {
		if (version < 1 || version > newestSupported) {
			throw new IllegalStateException(
					"The " + subject + " has format " + version + ", but this release supports only formats 1 to "
							+ newestSupported + ". Start the newer release that wrote it.");
		}
	}

}
