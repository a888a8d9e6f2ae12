package io.verbenatrack.server.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.TargetDelta;
import io.verbenatrack.routing.TargetPhase;
import io.verbenatrack.routing.TargetSpec;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.command.CommandProblems;

/**
 * Routes that announce and drain targets.
 */
public final class TargetRoutes {

	private static final int HTTP_OK = 200;

	private final VersionedTargetDirectory directory;

	private final ApiJsonCodec jsonCodec;

	private final MonotonicClock clock;

	private final int maximumTargets;

	/**
	 * Creates the routes.
	 * @param directory the targets known to this instance
	 * @param jsonCodec decodes and encodes JSON
	 * @param clock measures target leases
	 * @param maximumTargets the maximum number of targets in the directory
	 */
	public TargetRoutes(VersionedTargetDirectory directory, ApiJsonCodec jsonCodec, MonotonicClock clock,
			int maximumTargets) {
		this.directory = directory;
		this.jsonCodec = jsonCodec;
		this.clock = clock;
		this.maximumTargets = maximumTargets;
	}

	/**
	 * Returns the routes.
	 * @return the routes of this class
	 */
	public List<ApiRoute> routes() {
		return List.of(ApiRoute.of("POST", "/v1/targets", (request) -> completed(announce(request))), ApiRoute
			.of("POST", "/v1/targets/{}/drain", (request) -> completed(drain(new TargetId(request.variable())))));
	}

	private static CompletableFuture<ApiResponse> completed(ApiResponse answer) {
		return CompletableFuture.completedFuture(answer);
	}

	private ApiResponse announce(ApiRequest request) {
		return switch (this.jsonCodec.read(request.body(), TargetBody.class)) {
			case Result.Failure<TargetBody> failure -> ApiResponse.problem(this.jsonCodec, failure.problem());
			case Result.Success<TargetBody> success -> announce(success.value());
		};
	}

	private ApiResponse announce(TargetBody body) {
		TargetSpec spec = body.toSpec();
		if (isFull(spec.id())) {
			return ApiResponse.problem(this.jsonCodec, new Problem(ProblemKind.OVERLOADED,
					"This instance knows " + this.maximumTargets + " targets already.", "Raise limits.targets."));
		}
		TargetPhase phase = body.leaving() ? TargetPhase.LEAVING : TargetPhase.SERVING;
		this.directory.announce(spec, body.startedMs(), phase, body.load(), this.clock.nanoTime());
		return json(new LeaseBody(VersionedTargetDirectory.LEASE.toMillis()));
	}

	private boolean isFull(TargetId target) {
		long now = this.clock.nanoTime();
		return this.directory.all(now).size() >= this.maximumTargets
				&& this.directory.all(now).stream().noneMatch((known) -> known.spec().id().equals(target));
	}

	private ApiResponse drain(TargetId target) {
		Optional<TargetDelta> delta = this.directory.drain(target, this.clock.nanoTime());
		return delta.map((known) -> json(new DrainBody("leaving")))
			.orElseGet(() -> ApiResponse.problem(this.jsonCodec, CommandProblems.notFound("target", target)));
	}

	private ApiResponse json(Object body) {
		return new ApiResponse(HTTP_OK, ApiResponse.JSON, this.jsonCodec.write(body));
	}

	private record LeaseBody(long leaseMs) {

	}

	private record DrainBody(String state) {

	}

	private record TargetBody(String id, String service, String zone, String url, Integer slots, Integer connections,
			int load, long startedMs, boolean leaving) {

		TargetSpec toSpec() {
			if (this.url == null || !this.url.startsWith("http")) {
				throw new IllegalArgumentException(
						"url is '" + this.url + "'. Give where the target listens, with http://.");
			}
			return new TargetSpec(new TargetId(this.id), new ServiceId(this.service), new ZoneId(this.zone), this.url,
					RequiredField.number("slots", this.slots), RequiredField.number("connections", this.connections));
		}

	}

}
