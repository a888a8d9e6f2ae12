package io.verbenatrack.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.Identifiers;

/**
 * Shows the state of a job, or whether an instance is ready.
 */
record StatusCommand() implements Command {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "Shows the state and outcome of a job, or whether an instance is ready.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote()
			.addOption(CommandOptions.optional(CommandOptions.JOB, "ID", "name of the job; readiness without it"));
	}

	@Override
	public List<String> examples() {
		return List.of("status --instances 10.0.0.1:8080", "status --job night-17 --output json");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		String path = line.hasOption(CommandOptions.JOB) ? jobPath(line) : "/readyz";
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, InstanceCall.read(path), format, console);
		}
	}

	/**
	 * Returns the path of the job that the options name.
	 * @param line the parsed options
	 * @return the path
	 * @throws UsageException when the id is not valid
	 */
	static String jobPath(CommandLine line) throws UsageException {
		String id = line.getOptionValue(CommandOptions.JOB);
		if (!Identifiers.isValid(id)) {
			throw new UsageException("The job '" + id + "' is not valid.",
					"Use 1 to 128 letters, digits, '.', '-', '_' or ':'.");
		}
		return "/v1/jobs/" + id;
	}

}
