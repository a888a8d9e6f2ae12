package io.verbenatrack.cli;

import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.settings.DeclarationsReader;

/**
 * Shows what a folder of declarations would change.
 */
record DiffCommand() implements Command {

	@Override
	public String name() {
		return "diff";
	}

	@Override
	public String summary() {
		return "Shows what declarations would change, and the running work they would touch.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote()
			.addOption(CommandOptions.required(CommandOptions.DECLARATIONS, "DIR", "folder of declarations"));
	}

	@Override
	public List<String> examples() {
		return List.of("diff --declarations examples/hamid/declarations --instances 10.0.0.1:8080,10.0.0.2:8080");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		Path folder = Path.of(line.getOptionValue(CommandOptions.DECLARATIONS));
		String body = DeclarationsJson.write(CommandOptions.valueOrUsageError(DeclarationsReader.read(folder)));
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, new InstanceCall("POST", "/v1/declarations/diff", body, false), format,
					console);
		}
	}

}
