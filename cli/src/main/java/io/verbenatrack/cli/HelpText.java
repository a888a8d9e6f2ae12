package io.verbenatrack.cli;

import java.util.Comparator;
import java.util.List;

import org.apache.commons.cli.Option;

/**
 * Formats the help text of the program and of each command.
 */
final class HelpText {

	private static final int NAME_WIDTH = 10;

	private static final int OPTION_WIDTH = 34;

	private HelpText() {
	}

	static String overview() {
		StringBuilder text = new StringBuilder("Usage: verbenatrack COMMAND [OPTIONS]\n\nCommands:\n");
		for (Command command : Commands.ALL) {
			text.append("  ").append(pad(command.name(), NAME_WIDTH)).append(command.summary()).append('\n');
		}
		return text.append("\nOptions of every command:\n")
			.append("  --help     shows the options and examples of a command\n")
			.append("  --version  shows the version\n\n")
			.append("Exit codes: 0 done, 1 findings, 2 usage or settings, 3 refused, 4 no instance reached, 5 outcome unknown.\n")
			.append("\nExample:\n  verbenatrack local --settings examples/hamid/instance.yaml --work examples/hamid/night.yaml\n")
			.toString();
	}

	static String of(Command command) {
		StringBuilder text = new StringBuilder("Usage: verbenatrack ").append(command.name());
		if (!command.positionals().isEmpty()) {
			text.append(' ').append(String.join("|", command.positionals()));
		}
		command.operands().forEach((operand) -> text.append(' ').append(operand));
		text.append(" [OPTIONS]\n\n").append(command.summary()).append("\n\nOptions:\n");
		List<Option> options = command.options()
			.getOptions()
			.stream()
			.sorted(Comparator.comparing(Option::isRequired).reversed().thenComparing(Option::getLongOpt))
			.toList();
		options.forEach((option) -> text.append(line(option)));
		text.append("  ").append(pad("--help", OPTION_WIDTH)).append("shows this text\n");
		text.append("  ").append(pad("--version", OPTION_WIDTH)).append("shows the version\n\nExamples:\n");
		command.examples().forEach((example) -> text.append("  verbenatrack ").append(example).append('\n'));
		return text.toString();
	}

	private static String line(Option option) {
		String name = "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
		String required = option.isRequired() ? " (required)" : "";
		return "  " + pad(name, OPTION_WIDTH) + option.getDescription() + required + "\n";
	}

	private static String pad(String text, int width) {
		return text + " ".repeat(Math.max(1, width - text.length()));
	}

}
