package io.verbenatrack.cli;

/**
 * The exit codes of the program, documented in docs/CLI.md.
 */
public enum ExitCode {

	/** The command succeeded. */
	DONE(0),

	/** The command has findings about its input; nothing was sent. */
	FINDINGS(1),

	/**
	 * The command line, a settings file or a declaration is invalid; nothing was sent.
	 */
	USAGE(2),

	/** The call was refused; nothing was changed. */
	REFUSED(3),

	/** No instance could be reached; nothing was changed. */
	UNREACHABLE(4),

	/** The answer was lost; the change may or may not have taken effect. */
	UNKNOWN(5);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

}
