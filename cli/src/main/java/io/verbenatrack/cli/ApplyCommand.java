package io.verbenatrack.cli;

import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.Identifiers;
import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.settings.DeclarationsReader;

/**
 * Applies a directory of declarations.
 */
record ApplyCommand() implements Command {

	private static final String EXPECTED_REVISION = "expected-revision";

	private static final String CHANGE_ID = "change-id";

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public String summary() {
		return "Puts declarations in force everywhere, or changes nothing.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote()
			.addOption(CommandOptions.required(CommandOptions.DECLARATIONS, "DIR", "folder of declarations"))
			.addOption(CommandOptions.required(EXPECTED_REVISION, "N",
					"revision in force now; another one refuses the change"))
			.addOption(CommandOptions.required(CHANGE_ID, "ID", "name of this change; a resend carries the same"));
	}

	@Override
	public List<String> examples() {
		return List.of("apply --declarations examples/hamid/declarations --expected-revision 0 --change-id first");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		long expected = CommandOptions.number(line, EXPECTED_REVISION, 0);
		String change = line.getOptionValue(CHANGE_ID);
		if (expected < 0 || !Identifiers.isValid(change)) {
			throw new UsageException("Found --expected-revision " + expected + " and --change-id '" + change + "'.",
					"Give a revision of 0 or more, and an id of letters, digits, '.', '-', '_' or ':'.");
		}
		Path folder = Path.of(line.getOptionValue(CommandOptions.DECLARATIONS));
		String body = DeclarationsJson.write(CommandOptions.valueOrUsageError(DeclarationsReader.read(folder)));
		String path = "/v1/declarations?expectedRevision=" + expected + "&changeId=" + change;
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, new InstanceCall("PUT", path, body, true), format, console);
		}
	}

}
