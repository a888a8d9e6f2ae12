package io.verbenatrack.state;

/**
 * Checks the format versions of commands and snapshots.
 */
public final class FormatVersions {

	private FormatVersions() {
	}

	/**
	 * Fails unless this program knows a format.
	 * @param what the command or snapshot, used in the message
	 * @param found the version found
	 * @param known the newest version known
	 * @throws IllegalStateException with the remedy when the format is newer
	 */
	public static void requireKnown(String what, int found, int known) {
		if (found < 1 || found > known) {
			throw new IllegalStateException("The " + what + " has format " + found
					+ ", this program knows formats 1 to " + known + ". Start the newer release that wrote it.");
		}
	}

}
