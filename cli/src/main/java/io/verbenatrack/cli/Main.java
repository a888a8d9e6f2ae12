package io.verbenatrack.cli;

/**
 * Starts the command line.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command and exits with its code.
	 * @param args the words after the program's name
	 */
	public static void main(String[] args) {
		ExitCode code = new CommandLineTool(new Console(System.out, System.err)).run(args);
		System.out.flush();
		System.exit(code.status());
	}

}
