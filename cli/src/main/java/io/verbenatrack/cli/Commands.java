package io.verbenatrack.cli;

import java.util.List;
import java.util.Optional;

/**
 * The registry of all commands.
 */
final class Commands {

	/** The commands, in the order in which the help lists them. */
	static final List<Command> ALL = List.of(new LocalRunCommand(), new ServeCommand(), new CheckCommand(),
			new DiffCommand(), new ApplyCommand(), new SubmitCommand(), new CancelCommand(), new StatusCommand(),
			new ViewCommand(), new BenchCommand(), new ExplainCommand(), new ConfigCommand());

	private Commands() {
	}

	static Optional<Command> find(String name) {
		return ALL.stream().filter((command) -> command.name().equals(name)).findFirst();
	}

	static List<String> names() {
		return ALL.stream().map(Command::name).toList();
	}

}
