package io.verbenatrack.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.server.Instance;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;

/**
 * Runs an instance until the process receives a termination signal.
 */
record ServeCommand() implements Command {

	@Override
	public String name() {
		return "serve";
	}

	@Override
	public String summary() {
		return "Runs one instance until SIGTERM, then finishes what is in flight.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommandOptions.required(CommandOptions.SETTINGS, "FILE", "settings of the instance"));
	}

	@Override
	public List<String> examples() {
		return List.of("serve --settings /etc/verbenatrack/instance.yaml");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		InstanceSettings settings = CommandOptions
			.valueOrUsageError(InstanceSettingsReader.read(Path.of(line.getOptionValue(CommandOptions.SETTINGS))));
		try {
			Instance instance = Instance.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> close(instance), "shutdown"));
			console.out().println("ready " + instance.http());
			new CountDownLatch(1).await();
			return ExitCode.DONE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.DONE;
		}
		catch (Exception ex) {
			return console.fail(
					new Problem(ProblemKind.UNAVAILABLE, "The instance did not start: " + rootMessage(ex) + ".",
							"Check the addresses http and grpc, and the folder data, in the settings."),
					ExitCode.USAGE);
		}
	}

	// Halts with status 0. Otherwise the JVM exits with the status of the signal, and a
	// graceful shutdown looks like a failure.
	private static void close(Instance instance) {
		instance.shutdown();
		Runtime.getRuntime().halt(ExitCode.DONE.status());
	}

	private static String rootMessage(Throwable failure) {
		Throwable root = failure;
		while (root.getCause() != null && root.getCause() != root) {
			root = root.getCause();
		}
		return (root.getMessage() != null) ? root.getMessage() : root.getClass().getSimpleName();
	}

}
