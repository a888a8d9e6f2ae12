package io.verbenatrack.server.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.WorkerReport;

/**
 * Routes that announce and drain workers and receive their reports.
 */
public final class WorkerRoutes {

	private final CommandExecutor executor;

	private final ApiJsonCodec jsonCodec;

	private final ReplyResponseMapper responseMapper;

	private final int maximumReports;

	/**
	 * Creates the routes.
	 * @param executor executes commands on the leading replica
	 * @param jsonCodec decodes and encodes JSON
	 * @param maximumReports the maximum number of reports in one call
	 */
	public WorkerRoutes(CommandExecutor executor, ApiJsonCodec jsonCodec, int maximumReports) {
		this.executor = executor;
		this.jsonCodec = jsonCodec;
		this.responseMapper = new ReplyResponseMapper(jsonCodec);
		this.maximumReports = maximumReports;
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("POST", "/v1/workers", this::announce),
				ApiRoute.of("POST", "/v1/workers/{}/reports", this::report), ApiRoute.of("POST", "/v1/workers/{}/drain",
						(request) -> execute(new EntryCommand.DrainWorker(new WorkerId(request.variable())))));
	}

	private CompletableFuture<ApiResponse> execute(EntryCommand command) {
		return this.executor.execute(command).thenApply(this.responseMapper::map);
	}

	private CompletableFuture<ApiResponse> announce(ApiRequest request) {
		return switch (this.jsonCodec.read(request.body(), WorkerBody.class)) {
			case Result.Failure<WorkerBody> failure -> refuse(failure.problem());
			case Result.Success<WorkerBody> success ->
				execute(new EntryCommand.AnnounceWorker(success.value().toWorker(), success.value().url(),
						success.value().incarnationOrEmpty()));
		};
	}

	private CompletableFuture<ApiResponse> report(ApiRequest request) {
		return switch (this.jsonCodec.read(request.body(), ReportsBody.class)) {
			case Result.Failure<ReportsBody> failure -> refuse(failure.problem());
			case Result.Success<ReportsBody> success -> report(new WorkerId(request.variable()), success.value());
		};
	}

	private CompletableFuture<ApiResponse> report(WorkerId worker, ReportsBody body) {
		if (body.reports() == null || body.reports().size() > this.maximumReports) {
			return refuse(new Problem(ProblemKind.TOO_LARGE, "A call takes 1 to " + this.maximumReports + " reports.",
					"Split the reports over several calls."));
		}
		List<WorkerReport> reports = body.reports().stream().map(ReportBody::toReport).toList();
		return execute(new EntryCommand.ReportMembers(worker, reports));
	}

	private CompletableFuture<ApiResponse> refuse(Problem problem) {
		return CompletableFuture.completedFuture(ApiResponse.problem(this.jsonCodec, problem));
	}

	private record WorkerBody(String id, String zone, String rack, Integer positionInRack, Integer cores,
			Integer memoryGib, Integer accelerators, String url, String incarnation) {

		WorkerSpec toWorker() {
			if (this.url == null || !this.url.startsWith("http")) {
				throw new IllegalArgumentException(
						"url is '" + this.url + "'. Give where the worker listens, with http://.");
			}
			return new WorkerSpec(new WorkerId(this.id), new ZoneId(this.zone), new RackId(this.rack),
					RequiredField.number("positionInRack", this.positionInRack),
					RequiredField.number("cores", this.cores), RequiredField.number("memoryGib", this.memoryGib),
					RequiredField.number("accelerators", this.accelerators));
		}

		String incarnationOrEmpty() {
			return (this.incarnation != null) ? this.incarnation : "";
		}

	}

	private record ReportsBody(List<ReportBody> reports) {

	}

	private record ReportBody(String job, long token, String report, long progressMs, long checkpointedMs,
			int memoryGib) {

		WorkerReport toReport() {
			JobId id = new JobId(this.job);
			FencingToken lease = new FencingToken(this.token);
			if ("usage".equals(this.report)) {
				return new WorkerReport.Usage(id, lease, Duration.ofMillis(this.progressMs),
						Duration.ofMillis(this.checkpointedMs), this.memoryGib);
			}
			return new WorkerReport.MemberChange(id, lease, member());
		}

		private MemberReport member() {
			for (MemberReport known : MemberReport.values()) {
				if (known.name().toLowerCase(Locale.ROOT).equals(this.report)) {
					return known;
				}
			}
			throw new IllegalArgumentException("report is '" + this.report
					+ "'. Use prepared, started, finished, failed, checkpointed, stopped or usage.");
		}

	}

}
