package io.verbenatrack.server.routing;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.AttemptStep;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.routing.LossCause;
import io.verbenatrack.routing.RoutingDecision;
import io.verbenatrack.routing.RoutingEvent;

/**
 * Sends one dispatch attempt to its target and reports its steps and its result.
 */
final class TargetDispatch {

	private final RoutingDecision.Dispatch decision;

	private final CallerExchange caller;

	private final TargetConnectionPool connections;

	private final Consumer<RoutingEvent> events;

	private final int maximumBufferedBytes;

	private volatile Request request;

	private volatile boolean requestBegun;

	private volatile AttemptResult unusableResult;

	private volatile AnswerReader reader;

	private boolean cancelled;

	private boolean sending;

	private boolean ended;

	TargetDispatch(RoutingDecision.Dispatch decision, CallerExchange caller, TargetConnectionPool connections,
			Consumer<RoutingEvent> events, RequestLimits limits) {
		this.decision = decision;
		this.caller = caller;
		this.connections = connections;
		this.events = events;
		// Answers to requests that are not idempotent are buffered up to the size that
		// can be stored.
		this.maximumBufferedBytes = caller.callerRequest().spec().idempotent() ? limits.bufferedBytes()
				: Math.max(limits.bufferedBytes(), KeptAnswer.MAXIMUM_BODY_BYTES);
	}

	RoutingDecision.Dispatch decision() {
		return this.decision;
	}

	AnswerReader reader() {
		return this.reader;
	}

	void start(HttpClient client, MonotonicClock clock) {
		this.connections.acquire(this.decision.target()).whenComplete((connection, failure) -> {
			if (failure != null) {
				reportEnd(new AttemptResult.NotSent("no connection to the target could be opened"));
			}
			else {
				send(client, clock, connection);
			}
		});
	}

	private void send(HttpClient client, MonotonicClock clock, TargetConnection connection) {
		Request built = build(client, clock);
		synchronized (this) {
			this.request = built;
			this.sending = !this.cancelled;
		}
		if (this.sending) {
			connection.connection().send(built, (result) -> complete(result, connection));
			return;
		}
		this.connections.release(this.decision.target(), connection);
		reportEnd(new AttemptResult.NotSent("it was cancelled first"));
	}

	private Request build(HttpClient client, MonotonicClock clock) {
		CallerRequest callerRequest = this.caller.callerRequest();
		long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.decision.deadlineNanos() - clock.nanoTime()));
		Request built = client
			.newRequest(URI.create(this.decision.target().url() + "/" + callerRequest.spec().service()))
			.method(HttpMethod.POST)
			.headers((headers) -> {
				headers.put(RequestHeaders.REQUEST_ID, callerRequest.spec().id().value());
				headers.put(RequestHeaders.ATTEMPT, this.decision.attempt().value());
				headers.put(RequestHeaders.ACCOUNT, callerRequest.spec().account().value());
				headers.put(RequestHeaders.TIMEOUT_MS, remaining);
				if (!callerRequest.traceParent().isEmpty()) {
					headers.put(RequestHeaders.TRACE_PARENT, callerRequest.traceParent());
				}
			})
			.body(body(callerRequest));
		built.onRequestBegin((ignored) -> onRequestBegun());
		built.onRequestSuccess((ignored) -> reportStep(AttemptStep.SENT));
		built.onResponseHeaders(this::readHead);
		built.onResponseContentSource(this::readBody);
		return built;
	}

	private Request.Content body(CallerRequest callerRequest) {
		if (callerRequest.isStreamed()) {
			return new StreamedRequestBody(this.caller.httpRequest(), callerRequest);
		}
		String contentType = callerRequest.contentType().isEmpty() ? "application/octet-stream"
				: callerRequest.contentType();
		return new BytesRequestContent(contentType, callerRequest.body());
	}

	private void onRequestBegun() {
		this.requestBegun = true;
		reportStep(AttemptStep.HEAD_SENT);
	}

	private void reportStep(AttemptStep step) {
		this.events.accept(new RoutingEvent.AttemptAdvanced(this.decision.attempt(), step));
	}

	private void readHead(Response response) {
		switch (AnswerHead.read(response, this.decision.attempt())) {
			case AnswerHead.Unusable head -> this.unusableResult = head.result();
			case AnswerHead.Body head -> {
				reportStep(AttemptStep.ANSWER_HEAD);
				this.reader = new AnswerReader(head, this.maximumBufferedBytes,
						() -> reportStep(AttemptStep.ANSWER_HALF),
						(failure) -> this.events.accept(new RoutingEvent.CallerGone(this.decision.exchange())));
			}
		}
	}

	private void readBody(Response response, Content.Source source) {
		AnswerReader current = this.reader;
		if (current != null) {
			current.start(source);
		}
		else {
			Content.Source.consumeAll(source, Callback.NOOP);
		}
	}

	private void complete(Result result, TargetConnection connection) {
		AnswerReader current = this.reader;
		if (result.isSucceeded() && current != null) {
			current.whenFinished(() -> finish(result, connection));
		}
		else {
			finish(result, connection);
		}
	}

	private void finish(Result result, TargetConnection connection) {
		AttemptResult outcome = evaluate(result);
		boolean reusable = result.isSucceeded()
				&& (outcome instanceof AttemptResult.Answered || outcome instanceof AttemptResult.NotBegun);
		if (reusable) {
			this.connections.release(this.decision.target(), connection);
		}
		else {
			connection.transition("failed");
		}
		reportEnd(outcome);
	}

	private AttemptResult evaluate(Result result) {
		AttemptResult head = this.unusableResult;
		if (head instanceof AttemptResult.NotBegun || (head != null && result.isSucceeded())) {
			return head;
		}
		if (result.isFailed()) {
			return this.requestBegun ? new AttemptResult.Lost(lossCause(result.getFailure()))
					: new AttemptResult.NotSent("its connection was closed before it was sent");
		}
		AnswerReader current = this.reader;
		return (current != null) ? current.check() : new AttemptResult.Lost(LossCause.GARBAGE);
	}

	private LossCause lossCause(Throwable failure) {
		if (failure instanceof CancellationException) {
			return LossCause.CANCELLED;
		}
		if (failure instanceof HttpException) {
			return LossCause.GARBAGE;
		}
		if (failure instanceof StreamedRequestBody.CallerFailure) {
			return LossCause.CANCELLED;
		}
		boolean silent = failure instanceof SocketTimeoutException || (failure instanceof IOException
				&& failure.getMessage() != null && failure.getMessage().contains("timed out"));
		boolean headReceived = this.reader != null;
		return silent ? LossCause.SILENT : headReceived ? LossCause.WRONG_LENGTH : LossCause.RESET;
	}

	void cancel() {
		Request sent;
		synchronized (this) {
			this.cancelled = true;
			sent = this.sending ? this.request : null;
		}
		if (sent != null) {
			sent.abort(new CancellationException("This instance stopped waiting."));
		}
	}

	private void reportEnd(AttemptResult result) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.events.accept(new RoutingEvent.AttemptEnded(this.decision.attempt(), result));
	}

}
