package io.verbenatrack.server.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonProperty;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.settings.DurationFormat;

/**
 * Takes, shows and cancels jobs.
 */
public final class JobRoutes {

	private static final int ACCEPTED = 202;

	private final CommandExecutor executor;

	private final ApiFormat format;

	private final ReplyAnswers answers;

	private final Supplier<Optional<Problem>> obstacle;

	/**
	 * Creates the routes.
	 * @param executor reaches the leading replica
	 * @param format reads and writes JSON
	 * @param obstacle why no new job may be admitted, or empty when it may
	 */
	public JobRoutes(CommandExecutor executor, ApiFormat format, Supplier<Optional<Problem>> obstacle) {
		this.obstacle = obstacle;
		this.executor = executor;
		this.format = format;
		this.answers = new ReplyAnswers(format);
	}

	/**
	 * The routes.
	 * @return what this class answers
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("POST", "/v1/jobs", this::submit),
				ApiRoute.of("GET", "/v1/jobs/{}", (call) -> execute(new EntryCommand.FindJob(id(call)))),
				ApiRoute.of("DELETE", "/v1/jobs/{}", (call) -> execute(new EntryCommand.CancelJob(id(call)))));
	}

	private static JobId id(ApiCall call) {
		return new JobId(call.variable());
	}

	private CompletableFuture<ApiAnswer> execute(EntryCommand command) {
		return this.executor.execute(command).thenApply(this.answers::of);
	}

	private CompletableFuture<ApiAnswer> submit(ApiCall call) {
		Optional<Problem> stopped = this.obstacle.get();
		if (stopped.isPresent()) {
			return CompletableFuture.completedFuture(ApiAnswer.problem(this.format, stopped.get()));
		}
		return switch (this.format.read(call.body(), JobBody.class)) {
			case Result.Failure<JobBody> failure ->
				CompletableFuture.completedFuture(ApiAnswer.problem(this.format, failure.problem()));
			case Result.Success<JobBody> success ->
				execute(new EntryCommand.SubmitJob(success.value().toJob())).thenApply(JobRoutes::accepted);
		};
	}

	private static ApiAnswer accepted(ApiAnswer answer) {
		return (answer.status() == 200) ? new ApiAnswer(ACCEPTED, answer.contentType(), answer.body()) : answer;
	}

	private record JobBody(String id, String account, @JsonProperty("class") String jobClass, Integer accelerators,
			Integer coresPerAccelerator, Integer memoryGibPerAccelerator, String runTime, String urgency,
			boolean checkpointable) {

		JobSpec toJob() {
			Optional<Duration> declared = DurationFormat.parse((this.runTime != null) ? this.runTime : "");
			if (declared.isEmpty()) {
				throw new IllegalArgumentException("runTime is '" + this.runTime + "'. " + DurationFormat.REMEDY);
			}
			return new JobSpec(new JobId(this.id), new AccountId(this.account), this.jobClass,
					new GangShape(RequiredField.number("accelerators", this.accelerators),
							RequiredField.number("coresPerAccelerator", this.coresPerAccelerator),
							RequiredField.number("memoryGibPerAccelerator", this.memoryGibPerAccelerator)),
					declared.get(), parsedUrgency(), this.checkpointable);
		}

		private Urgency parsedUrgency() {
			String name = (this.urgency != null) ? this.urgency : "normal";
			return switch (name) {
				case "normal" -> Urgency.NORMAL;
				case "urgent" -> Urgency.URGENT;
				default -> throw new IllegalArgumentException(
						"urgency is '" + name.toLowerCase(Locale.ROOT) + "'. Use normal or urgent.");
			};
		}

	}

}
