package io.verbenatrack.cli;

/**
 * The entry point of the command line interface.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command and exits with its code.
	 * @param args the arguments after the program name
	 */
	public static void main(String[] args) {
		ExitCode code = new CommandLineTool(new Console(System.out, System.err)).run(args);
		System.out.flush();
		System.exit(code.status());
	}

}
