package io.verbenatrack.server.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Routes that show operators the fleet, the jobs and the client accounts.
 */
public final class ViewRoutes {

	private final CommandExecutor executor;

	private final ReplyResponseMapper responseMapper;

	/**
	 * Creates the routes.
	 * @param executor executes commands on the leading replica
	 * @param jsonCodec encodes JSON
	 */
	public ViewRoutes(CommandExecutor executor, ApiJsonCodec jsonCodec) {
		this.executor = executor;
		this.responseMapper = new ReplyResponseMapper(jsonCodec);
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("GET", "/v1/views/fleet", (request) -> view(ViewRoutes::fleet)),
				ApiRoute.of("GET", "/v1/views/jobs", (request) -> view(ViewRoutes::jobs)),
				ApiRoute.of("GET", "/v1/views/accounts", (request) -> view(ViewRoutes::accounts)));
	}

	private CompletableFuture<ApiResponse> view(Function<SchedulingView, Object> part) {
		return this.executor.execute(new EntryCommand.FetchView()).thenApply((reply) -> {
			if (reply instanceof EntryReply.View view) {
				return this.responseMapper.json(part.apply(view.view()));
			}
			return this.responseMapper.map(reply);
		});
	}

	private static Object fleet(SchedulingView view) {
		return new FleetBody(view.fragmentation(), view.workers());
	}

	private static Object jobs(SchedulingView view) {
		return new JobsBody(view.jobs());
	}

	private static Object accounts(SchedulingView view) {
		return new AccountsBody(view.accounts());
	}

	private record FleetBody(double fragmentation, List<SchedulingView.WorkerView> workers) {

	}

	private record JobsBody(List<SchedulingView.JobView> jobs) {

	}

	private record AccountsBody(List<SchedulingView.AccountView> accounts) {

	}

}
