package io.verbenatrack.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs a command line in this process and captures its output.
 *
 * @param code the exit code
 * @param out the standard output
 * @param err the standard error
 */
record CommandLineRun(ExitCode code, String out, String err) {

	static CommandLineRun of(String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = new Console(new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8));
		ExitCode code = new CommandLineTool(console).run(args);
		return new CommandLineRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the root directory of the checkout.
	 * @return the directory that contains the examples
	 */
	static Path root() {
		Path folder = Path.of("").toAbsolutePath();
		while (!Files.isDirectory(folder.resolve("examples"))) {
			folder = folder.getParent();
		}
		return folder;
	}

}
