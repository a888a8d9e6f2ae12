package io.verbenatrack.cli;

import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.settings.DeclarationsReader;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;

/**
 * Validates settings or declarations locally, without calling an instance.
 */
record CheckCommand() implements Command {

	@Override
	public String name() {
		return "check";
	}

	@Override
	public String summary() {
		return "Checks a settings file or a folder of declarations.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommandOptions.optional(CommandOptions.SETTINGS, "FILE", "settings of an instance"))
			.addOption(CommandOptions.optional(CommandOptions.DECLARATIONS, "DIR", "folder of declarations"));
	}

	@Override
	public List<String> examples() {
		return List.of("check --settings examples/hamid/instance.yaml",
				"check --declarations examples/hamid/declarations");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		boolean settings = line.hasOption(CommandOptions.SETTINGS);
		boolean declarations = line.hasOption(CommandOptions.DECLARATIONS);
		if (!settings && !declarations) {
			throw new UsageException("Nothing to check was given.", "Give --settings FILE or --declarations DIR.");
		}
		if (settings) {
			Path file = Path.of(line.getOptionValue(CommandOptions.SETTINGS));
			InstanceSettings read = CommandOptions.valueOrUsageError(InstanceSettingsReader.read(file));
			console.out()
				.println(file + ": instance " + read.instance() + " of " + read.cluster() + " is well-formed.");
		}
		if (declarations) {
			Path folder = Path.of(line.getOptionValue(CommandOptions.DECLARATIONS));
			Declarations read = CommandOptions.valueOrUsageError(DeclarationsReader.read(folder));
			console.out()
				.println(folder + ": " + read.accounts().size() + " client accounts and " + read.exceptions().size()
						+ " exceptions are well-formed.");
		}
		return ExitCode.DONE;
	}

}
