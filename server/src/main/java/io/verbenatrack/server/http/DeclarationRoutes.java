package io.verbenatrack.server.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Result;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.settings.DeclarationsDiff;
import io.verbenatrack.settings.DeclarationsJson;

/**
 * Routes that fetch, compare and change the declarations.
 */
public final class DeclarationRoutes {

	private static final String UNNAMED_OPERATOR = "unnamed";

	private final CommandExecutor executor;

	private final ApiJsonCodec jsonCodec;

	private final ReplyResponseMapper responseMapper;

	/**
	 * Creates the routes.
	 * @param executor executes commands on the leading replica
	 * @param jsonCodec encodes JSON
	 */
	public DeclarationRoutes(CommandExecutor executor, ApiJsonCodec jsonCodec) {
		this.executor = executor;
		this.jsonCodec = jsonCodec;
		this.responseMapper = new ReplyResponseMapper(jsonCodec);
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("GET", "/v1/declarations", (request) -> fetch()),
				ApiRoute.of("GET", "/v1/views/configuration", (request) -> fetch()),
				ApiRoute.of("PUT", "/v1/declarations", this::change),
				ApiRoute.of("POST", "/v1/declarations/diff", this::diff));
	}

	private CompletableFuture<ApiResponse> fetch() {
		return execute(new EntryCommand.FetchDeclarations());
	}

	private CompletableFuture<ApiResponse> change(ApiRequest request) {
		long expected = number(request, "expectedRevision");
		ChangeId change = new ChangeId(request.query().value("changeId").orElse(""));
		String operator = request.query().value("operator").orElse(UNNAMED_OPERATOR);
		return switch (DeclarationsJson.read(request.body())) {
			case Result.Failure<Declarations> failure ->
				CompletableFuture.completedFuture(ApiResponse.problem(this.jsonCodec, failure.problem()));
			case Result.Success<Declarations> success ->
				execute(new EntryCommand.ChangeDeclarations(change, expected, operator, success.value()));
		};
	}

	private CompletableFuture<ApiResponse> diff(ApiRequest request) {
		return switch (DeclarationsJson.read(request.body())) {
			case Result.Failure<Declarations> failure ->
				CompletableFuture.completedFuture(ApiResponse.problem(this.jsonCodec, failure.problem()));
			case Result.Success<Declarations> success -> this.executor.execute(new EntryCommand.FetchDeclarations())
				.thenCombine(this.executor.execute(new EntryCommand.FetchView()),
						(currentReply, viewReply) -> diff(currentReply, viewReply, success.value()));
		};
	}

	private ApiResponse diff(EntryReply currentReply, EntryReply viewReply, Declarations proposed) {
		if (!(currentReply instanceof EntryReply.DeclarationsInForce inForce)) {
			return this.responseMapper.map(currentReply);
		}
		if (!(viewReply instanceof EntryReply.View current)) {
			return this.responseMapper.map(viewReply);
		}
		DeclarationsDiff diff = DeclarationsDiff.between(inForce.declarations(), proposed);
		List<ChangeBody> changes = diff.changes()
			.stream()
			.map((change) -> new ChangeBody(change.subject().toString(), change.key(), change.before(), change.after()))
			.toList();
		return this.responseMapper
			.json(new DiffBody(inForce.revision().number(), changes, AffectedJobs.of(diff, current.view())));
	}

	private static long number(ApiRequest request, String name) {
		String text = request.query().value(name).orElse("");
		if (!text.matches("\\d{1,18}")) {
			throw new IllegalArgumentException("The parameter " + name + " is '" + text
					+ "'. Give the number of the revision that the change was made from, such as 0.");
		}
		return Long.parseLong(text);
	}

	private CompletableFuture<ApiResponse> execute(EntryCommand command) {
		return this.executor.execute(command).thenApply(this.responseMapper::map);
	}

	private record ChangeBody(String subject, String key, String before, String after) {

	}

	private record DiffBody(long revision, List<ChangeBody> changes, List<String> touchedJobs) {

	}

}
