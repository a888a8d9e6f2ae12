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
 * Changes and shows the declarations.
 */
public final class DeclarationRoutes {

	private static final String UNNAMED_OPERATOR = "unnamed";

	private final CommandExecutor executor;

	private final ApiJsonCodec format;

	private final ReplyResponseMapper answers;

	/**
	 * Creates the routes.
	 * @param executor reaches the leading replica
	 * @param format writes JSON
	 */
	public DeclarationRoutes(CommandExecutor executor, ApiJsonCodec format) {
		this.executor = executor;
		this.format = format;
		this.answers = new ReplyResponseMapper(format);
	}

	/**
	 * The routes.
	 * @return what this class answers
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("GET", "/v1/declarations", (call) -> fetch()),
				ApiRoute.of("GET", "/v1/views/configuration", (call) -> fetch()),
				ApiRoute.of("PUT", "/v1/declarations", this::change),
				ApiRoute.of("POST", "/v1/declarations/diff", this::diff));
	}

	private CompletableFuture<ApiResponse> fetch() {
		return execute(new EntryCommand.FetchDeclarations());
	}

	private CompletableFuture<ApiResponse> change(ApiRequest call) {
		long expected = number(call, "expectedRevision");
		ChangeId change = new ChangeId(call.query().value("changeId").orElse(""));
		String operator = call.query().value("operator").orElse(UNNAMED_OPERATOR);
		return switch (DeclarationsJson.read(call.body())) {
			case Result.Failure<Declarations> failure ->
				CompletableFuture.completedFuture(ApiResponse.problem(this.format, failure.problem()));
			case Result.Success<Declarations> success ->
				execute(new EntryCommand.ChangeDeclarations(change, expected, operator, success.value()));
		};
	}

	private CompletableFuture<ApiResponse> diff(ApiRequest call) {
		return switch (DeclarationsJson.read(call.body())) {
			case Result.Failure<Declarations> failure ->
				CompletableFuture.completedFuture(ApiResponse.problem(this.format, failure.problem()));
			case Result.Success<Declarations> success -> this.executor.execute(new EntryCommand.FetchDeclarations())
				.thenCombine(this.executor.execute(new EntryCommand.FetchView()),
						(present, view) -> diff(present, view, success.value()));
		};
	}

	private ApiResponse diff(EntryReply present, EntryReply view, Declarations wanted) {
		if (!(present instanceof EntryReply.DeclarationsInForce inForce)) {
			return this.answers.of(present);
		}
		if (!(view instanceof EntryReply.View known)) {
			return this.answers.of(view);
		}
		DeclarationsDiff diff = DeclarationsDiff.between(inForce.declarations(), wanted);
		List<ChangeBody> changes = diff.changes()
			.stream()
			.map((change) -> new ChangeBody(change.subject().toString(), change.key(), change.before(), change.after()))
			.toList();
		return this.answers
			.json(new DiffBody(inForce.revision().number(), changes, AffectedJobs.of(diff, known.view())));
	}

	private static long number(ApiRequest call, String name) {
		String text = call.query().value(name).orElse("");
		if (!text.matches("\\d{1,18}")) {
			throw new IllegalArgumentException("The parameter " + name + " is '" + text
					+ "'. Give the number of the revision that the change was made from, such as 0.");
		}
		return Long.parseLong(text);
	}

	private CompletableFuture<ApiResponse> execute(EntryCommand command) {
		return this.executor.execute(command).thenApply(this.answers::of);
	}

	private record ChangeBody(String subject, String key, String before, String after) {

	}

	private record DiffBody(long revision, List<ChangeBody> changes, List<String> touchedJobs) {

	}

}
