package io.verbenatrack.server.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Dispatches HTTP requests to the routes of the API.
 */
public final class ApiHandler extends Handler.Abstract.NonBlocking {

	private final List<ApiRoute> routes;

	private final ApiJsonCodec jsonCodec;

	private final int maximumBodyBytes;

	/**
	 * Creates the handler.
	 * @param routes the routes
	 * @param jsonCodec encodes problems
	 * @param maximumBodyBytes the largest accepted body, in bytes
	 */
	public ApiHandler(List<ApiRoute> routes, ApiJsonCodec jsonCodec, int maximumBodyBytes) {
		this.routes = List.copyOf(routes);
		this.jsonCodec = jsonCodec;
		this.maximumBodyBytes = maximumBodyBytes;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		List<String> path = List.of(Request.getPathInContext(request).substring(1).split("/"));
		boolean pathIsKnown = false;
		for (ApiRoute route : this.routes) {
			Optional<List<String>> variables = route.match(path);
			if (variables.isPresent() && route.method().equals(request.getMethod())) {
				answer(route, variables.get(), request, response, callback);
				return true;
			}
			pathIsKnown |= variables.isPresent();
		}
		Problem problem = pathIsKnown ? wrongMethod(request) : unknownPath(request);
		write(ApiResponse.problem(this.jsonCodec, problem), response, callback);
		return true;
	}

	private static Problem wrongMethod(Request request) {
		return new Problem(ProblemKind.INVALID,
				"The path " + Request.getPathInContext(request) + " does not take " + request.getMethod() + ".",
				"Look up its methods in docs/API.md.");
	}

	private static Problem unknownPath(Request request) {
		return new Problem(ProblemKind.NOT_FOUND, "There is no path " + Request.getPathInContext(request) + ".",
				"Look up the paths in docs/API.md.");
	}

	private void answer(ApiRoute route, List<String> variables, Request request, Response response, Callback callback) {
		if (request.getLength() > this.maximumBodyBytes) {
			write(ApiResponse.problem(this.jsonCodec, tooLarge()), response, callback);
			return;
		}
		Content.Source.asByteBufferAsync(request, this.maximumBodyBytes).whenComplete((body, failure) -> {
			if (failure != null) {
				write(ApiResponse.problem(this.jsonCodec, tooLarge()), response, callback);
				return;
			}
			invoke(route, new ApiRequest(variables, query(request), bytes(body))).whenComplete(
					(answer, problem) -> write((problem != null) ? internal(problem) : answer, response, callback));
		});
	}

	private static CompletableFuture<ApiResponse> invoke(ApiRoute route, ApiRequest apiRequest) {
		try {
			return route.action().apply(apiRequest);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private ApiResponse internal(Throwable failure) {
		if (failure instanceof IllegalArgumentException) {
			return ApiResponse.problem(this.jsonCodec,
					new Problem(ProblemKind.INVALID, failure.getMessage(), "Correct the call."));
		}
		return ApiResponse.problem(this.jsonCodec,
				new Problem(ProblemKind.UNKNOWN_OUTCOME, "The instance met an internal error: " + failure + ".",
						"Send the same again with the same id, and report the error."));
	}

	private Problem tooLarge() {
		return new Problem(ProblemKind.TOO_LARGE, "The body is over " + this.maximumBodyBytes + " bytes or was cut.",
				"Send a smaller body, or raise limits.control-body.");
	}

	private static ApiRequest.QueryParameters query(Request request) {
		Fields fields = Request.extractQueryParameters(request);
		return (name) -> Optional.ofNullable(fields.getValue(name));
	}

	private static byte[] bytes(ByteBuffer buffer) {
		return BufferUtil.toArray(buffer);
	}

	private static void write(ApiResponse answer, Response response, Callback callback) {
		response.setStatus(answer.status());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
		response.write(true, ByteBuffer.wrap(answer.body()), callback);
	}

}
