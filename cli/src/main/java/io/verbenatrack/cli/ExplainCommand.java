package io.verbenatrack.cli;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.cli.explain.LogTimeline;

/**
 * Prints the timeline of one request or job from the logs of several instances.
 */
record ExplainCommand() implements Command {

	private static final String ID = "id";

	private static final String LOGS = "logs";

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "Prints what the logs of several instances say of one job, in order.";
	}

	@Override
	public Options options() {
		return new Options().addOption(CommandOptions.required(ID, "ID", "the job or request"))
			.addOption(CommandOptions.required(LOGS, "FILE,...", "log files, each of one instance"));
	}

	@Override
	public List<String> examples() {
		return List.of("explain --id 5c0e7a21d94b36f8 --logs edge-1.log,core-1.log,core-2.log");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		LogTimeline timeline = new LogTimeline(line.getOptionValue(ID));
		for (String file : line.getOptionValue(LOGS).split(",")) {
			read(timeline, file);
		}
		timeline.lines().forEach(console.out()::println);
		return timeline.hasMatches() ? ExitCode.DONE : ExitCode.REFUSED;
	}

	private static void read(LogTimeline timeline, String file) throws UsageException {
		try {
			timeline.read(Path.of(file));
		}
		catch (IOException | InvalidPathException ex) {
			throw new UsageException("The log '" + file + "' cannot be read.", "Name a file that is there.");
		}
	}

}
