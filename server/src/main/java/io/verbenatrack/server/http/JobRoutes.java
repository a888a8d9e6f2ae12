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
import io.verbenatrack.settings.DurationText;

/**
 * Routes that submit, query and cancel jobs.
 */
public final class JobRoutes {

	private static final int HTTP_ACCEPTED = 202;

	private final CommandExecutor executor;

	private final ApiJsonCodec jsonCodec;

	private final ReplyResponseMapper responseMapper;

	private final Supplier<Optional<Problem>> admissionProblem;

	/**
	 * Creates the routes.
	 * @param executor executes commands on the leading replica
	 * @param jsonCodec decodes and encodes JSON
	 * @param admissionProblem returns why no new job may be admitted, or empty if jobs
	 * are admitted
	 */
	public JobRoutes(CommandExecutor executor, ApiJsonCodec jsonCodec, Supplier<Optional<Problem>> admissionProblem) {
		this.admissionProblem = admissionProblem;
		this.executor = executor;
		this.jsonCodec = jsonCodec;
		this.responseMapper = new ReplyResponseMapper(jsonCodec);
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("POST", "/v1/jobs", this::submit),
				ApiRoute.of("GET", "/v1/jobs/{}", (request) -> execute(new EntryCommand.FindJob(id(request)))),
				ApiRoute.of("DELETE", "/v1/jobs/{}", (request) -> execute(new EntryCommand.CancelJob(id(request)))));
	}

	private static JobId id(ApiRequest request) {
		return new JobId(request.variable());
	}

	private CompletableFuture<ApiResponse> execute(EntryCommand command) {
		return this.executor.execute(command).thenApply(this.responseMapper::map);
	}

	private CompletableFuture<ApiResponse> submit(ApiRequest request) {
		Optional<Problem> problem = this.admissionProblem.get();
		if (problem.isPresent()) {
			return CompletableFuture.completedFuture(ApiResponse.problem(this.jsonCodec, problem.get()));
		}
		return switch (this.jsonCodec.read(request.body(), JobBody.class)) {
			case Result.Failure<JobBody> failure ->
				CompletableFuture.completedFuture(ApiResponse.problem(this.jsonCodec, failure.problem()));
			case Result.Success<JobBody> success ->
				execute(new EntryCommand.SubmitJob(success.value().toJob())).thenApply(JobRoutes::withAcceptedStatus);
		};
	}

	private static ApiResponse withAcceptedStatus(ApiResponse response) {
		return (response.status() == 200) ? new ApiResponse(HTTP_ACCEPTED, response.contentType(), response.body())
				: response;
	}

	private record JobBody(String id, String account, @JsonProperty("class") String jobClass, Integer accelerators,
			Integer coresPerAccelerator, Integer memoryGibPerAccelerator, String runTime, String urgency,
			boolean checkpointable) {

		JobSpec toJob() {
			Optional<Duration> declared = DurationText.parse((this.runTime != null) ? this.runTime : "");
			if (declared.isEmpty()) {
				throw new IllegalArgumentException("runTime is '" + this.runTime + "'. " + DurationText.REMEDY);
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
