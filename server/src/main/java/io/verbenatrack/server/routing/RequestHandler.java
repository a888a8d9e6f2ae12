package io.verbenatrack.server.routing;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;

/**
 * Handles {@code POST /v1/requests/{service}} and leaves all other requests to the next
 * handler.
 */
public final class RequestHandler extends Handler.Abstract.NonBlocking {

	private final RequestRouting routing;

	private final CallerRequestParser parser;

	private final RequestLimits limits;

	RequestHandler(RequestRouting routing, CallerRequestParser parser, RequestLimits limits) {
		this.routing = routing;
		this.parser = parser;
		this.limits = limits;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String path = request.getHttpURI().getDecodedPath();
		if (!request.getMethod().equals("POST") || path == null || !path.startsWith(CallerRequestParser.PATH_PREFIX)) {
			return false;
		}
		switch (this.parser.parse(request)) {
			case Result.Failure<CallerRequest> failure ->
				CallerExchange.writeProblem(response, callback, "refused", failure.problem());
			case Result.Success<CallerRequest> success -> receive(request, response, callback, success.value());
		}
		return true;
	}

	private void receive(Request request, Response response, Callback callback, CallerRequest callerRequest) {
		// The deadline of the request ends the wait, so the idle timeout of the
		// connection must not.
		request.addIdleTimeoutListener((timeout) -> false);
		if (callerRequest.isStreamed()) {
			accept(request, response, callback, callerRequest);
			return;
		}
		Content.Source.asByteArrayAsync(request, this.limits.bufferedBytes()).whenComplete((body, failure) -> {
			if (failure == null) {
				acceptBuffered(request, response, callback, callerRequest, body);
			}
			else {
				CallerExchange.writeProblem(response, callback, "refused", unreadableBody(failure));
			}
		});
	}

	private void acceptBuffered(Request request, Response response, Callback callback, CallerRequest callerRequest,
			byte[] body) {
		CallerRequest buffered = callerRequest.withBody(body);
		if (callerRequest.digest() != null && !callerRequest.digest().equals(buffered.digest())) {
			CallerExchange.writeProblem(response, callback, "refused", new Problem(ProblemKind.INVALID,
					"The body does not match its digest.", "Send the whole body again."));
			return;
		}
		accept(request, response, callback, buffered);
	}

	private void accept(Request request, Response response, Callback callback, CallerRequest callerRequest) {
		this.routing.accept(new CallerExchange(request, response, callback, callerRequest));
	}

	private Problem unreadableBody(Throwable failure) {
		return new Problem(ProblemKind.TOO_LARGE, "The body could not be read: " + failure.getMessage(),
				"Send the whole body, with its Content-Length when it is over " + this.limits.bufferedBytes()
						+ " bytes.");
	}

}
