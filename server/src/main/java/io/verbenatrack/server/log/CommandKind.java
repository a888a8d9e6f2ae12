package io.verbenatrack.server.log;

/**
 * The kind of a log command, encoded as its first byte. It selects the state machine that
 * applies the command.
 */
public enum CommandKind {

	/** A configuration change. */
	CONFIGURATION,

	/** A command on the claim of a request. */
	CLAIM,

	/** A batch of scheduling decisions. */
	DECISIONS;

	/**
	 * Prepends the kind to a command.
	 * @param command the command
	 * @return the log command
	 */
	public byte[] frame(byte[] command) {
		byte[] framed = new byte[command.length + 1];
		framed[0] = (byte) ordinal();
		System.arraycopy(command, 0, framed, 1, command.length);
		return framed;
	}

	/**
	 * Returns the kind of a log command.
	 * @param framed the log command
	 * @return the kind
	 * @throws IllegalStateException if this version does not know the kind
	 */
	public static CommandKind of(byte[] framed) {
		int ordinal = (framed.length > 0) ? framed[0] : -1;
		if (ordinal < 0 || ordinal >= values().length) {
			throw new IllegalStateException("A log command of kind " + ordinal
					+ " is not known to this version. Upgrade this instance before it applies the log.");
		}
		return values()[ordinal];
	}

	/**
	 * Strips the kind from a log command.
	 * @param framed the log command
	 * @return the command
	 */
	public static byte[] unframe(byte[] framed) {
		byte[] command = new byte[framed.length - 1];
		System.arraycopy(framed, 1, command, 0, command.length);
		return command;
	}

}
