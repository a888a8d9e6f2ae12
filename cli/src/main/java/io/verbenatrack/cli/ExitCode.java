package io.verbenatrack.cli;

/**
 * How a command ended, as scripts see it; docs/CLI.md lists them.
 */
public enum ExitCode {

	/** The command did what it was asked. */
	DONE(0),

	/** The command line, a settings file or a declaration is wrong; nothing was sent. */
	USAGE(2),

	/** The system refused; nothing was changed. */
	REFUSED(3),

	/** No instance could be reached; nothing was changed. */
	UNREACHABLE(4),

	/** The answer was lost, so the change may or may not be in force. */
	UNKNOWN(5);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * The exit status of the process.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

}
