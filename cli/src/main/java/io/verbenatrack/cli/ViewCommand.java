package io.verbenatrack.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Shows one of the operator views.
 */
record ViewCommand() implements Command {

	@Override
	public String name() {
		return "view";
	}

	@Override
	public String summary() {
		return "Shows the fleet, the jobs, the client accounts or the configuration in force.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote();
	}

	@Override
	public List<String> positionals() {
		return List.of("fleet", "jobs", "accounts", "configuration");
	}

	@Override
	public List<String> examples() {
		return List.of("view fleet", "view jobs --output json --instances 10.0.0.1:8080,10.0.0.2:8080");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		String path = "/v1/views/" + line.getArgList().getFirst();
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, InstanceCall.read(path), format, console);
		}
	}

}
