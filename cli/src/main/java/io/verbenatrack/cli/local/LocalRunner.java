package io.verbenatrack.cli.local;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;
import io.verbenatrack.settings.DeclarationsReader;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;
import io.verbenatrack.settings.WorkFile;
import io.verbenatrack.settings.WorkPlan;

/**
 * Runs a work file on one instance with stand-in workers and targets.
 */
public final class LocalRunner {

	private LocalRunner() {
	}

	/**
	 * Runs a work file to completion.
	 * @param options the options of the run
	 * @param progress the stream for progress messages
	 * @return the figures, or the problem that ended the run
	 */
	public static Result<LocalSummary> run(LocalOptions options, PrintStream progress) {
		Result<InstanceSettings> settings = InstanceSettingsReader.read(options.settings());
		Result<WorkPlan> plan = WorkFile.read(options.work());
		Result<Declarations> declarations = DeclarationsReader.read(options.declarations());
		if (settings instanceof Result.Failure<InstanceSettings> failure) {
			return new Result.Failure<>(failure.problem());
		}
		if (plan instanceof Result.Failure<WorkPlan> failure) {
			return new Result.Failure<>(failure.problem());
		}
		if (declarations instanceof Result.Failure<Declarations> failure) {
			return new Result.Failure<>(failure.problem());
		}
		return run(value(settings), value(plan), value(declarations), options, progress);
	}

	private static <T> T value(Result<T> result) {
		return ((Result.Success<T>) result).value();
	}

	private static Result<LocalSummary> run(InstanceSettings settings, WorkPlan plan, Declarations declarations,
			LocalOptions options, PrintStream progress) {
		try {
			Path data = options.data().isPresent() ? options.data().get()
					: Files.createTempDirectory("verbenatrack-local");
			try (LocalRun run = new LocalRun(settings.withData(data), plan, progress)) {
				LocalSummary summary = run.run(declarations);
				write(options, summary);
				return Result.success(summary);
			}
		}
		catch (Exception ex) {
			return Result.failure(ProblemKind.UNAVAILABLE, "The local run stopped: " + ex.getMessage(),
					"Check the settings and the data folder, then run it again.");
		}
	}

	private static void write(LocalOptions options, LocalSummary summary) throws IOException {
		if (options.json().isPresent()) {
			new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(options.json().get().toFile(), summary);
		}
	}

}
