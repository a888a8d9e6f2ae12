package io.verbenatrack.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Cancels a job.
 */
record CancelCommand() implements Command {

	@Override
	public String name() {
		return "cancel";
	}

	@Override
	public String summary() {
		return "Cancels a job; a resend is harmless.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote().addOption(CommandOptions.required(CommandOptions.JOB, "ID", "name of the job"));
	}

	@Override
	public List<String> examples() {
		return List.of("cancel --job night-17");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		InstanceCall call = new InstanceCall("DELETE", StatusCommand.jobPath(line), "", true);
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, call, format, console);
		}
	}

}
