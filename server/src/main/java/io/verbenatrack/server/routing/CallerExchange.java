package io.verbenatrack.server.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.routing.BodyDigest;

/**
 * The HTTP exchange with one caller. At most one outcome is written to it.
 */
final class CallerExchange {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Request httpRequest;

	private final Response response;

	private final Callback callback;

	private final CallerRequest callerRequest;

	private final AtomicBoolean completed = new AtomicBoolean();

	CallerExchange(Request httpRequest, Response response, Callback callback, CallerRequest callerRequest) {
		this.httpRequest = httpRequest;
		this.response = response;
		this.callback = callback;
		this.callerRequest = callerRequest;
	}

	CallerRequest callerRequest() {
		return this.callerRequest;
	}

	Request httpRequest() {
		return this.httpRequest;
	}

	/**
	 * Writes a complete answer that has been checked.
	 * @param attempt the dispatch attempt that was answered
	 * @param target the target that answered
	 * @param contentType the media type of the body, empty if there is none
	 * @param body the body
	 */
	void answer(AttemptId attempt, TargetId target, String contentType, byte[] body) {
		if (this.completed.compareAndSet(false, true)) {
			writeHead(attempt, target, contentType, body.length, BodyDigest.of(body));
			this.response.write(true, ByteBuffer.wrap(body), this.callback);
		}
	}

	/**
	 * Writes the head of an answer whose body is streamed.
	 * @param attempt the dispatch attempt that is answered
	 * @param target the target that answers
	 * @param contentType the media type of the body, empty if there is none
	 * @param length the length of the body in bytes
	 * @param digest the digest that the target sent in the head
	 */
	void writeHead(AttemptId attempt, TargetId target, String contentType, long length, BodyDigest digest) {
		this.response.setStatus(200);
		this.response.getHeaders().put(RequestHeaders.OUTCOME, "answered");
		this.response.getHeaders().put(RequestHeaders.ATTEMPT, attempt.value());
		this.response.getHeaders().put(RequestHeaders.TARGET, target.value());
		this.response.getHeaders().put(RequestHeaders.DIGEST, digest.header());
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
		if (!contentType.isEmpty()) {
			this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
		}
	}

	void writePart(ByteBuffer part, Callback written) {
		this.response.write(false, part, written);
	}

	void writeLastPart(ByteBuffer part) {
		if (this.completed.compareAndSet(false, true)) {
			this.response.write(true, part, this.callback);
		}
	}

	/**
	 * Writes an outcome without a body. If an answer is being streamed, the response is
	 * aborted.
	 * @param outcome the outcome
	 */
	void respond(RequestOutcome<?> outcome) {
		switch (outcome) {
			case RequestOutcome.Answered<?> answered ->
				throw new IllegalArgumentException("An answer has a body. Pass it to answer().");
			case RequestOutcome.NotRun<?> notRun -> write("not-run", notRun.reason(), true);
			case RequestOutcome.Unknown<?> unknown -> write("unknown", unknown.reason(), true);
		}
	}

	void refuse(Problem problem) {
		write("refused", problem, false);
	}

	private void write(String outcome, Problem problem, boolean header) {
		if (!this.completed.compareAndSet(false, true)) {
			return;
		}
		if (this.response.isCommitted()) {
			this.callback.failed(new IllegalStateException(problem.toString()));
			return;
		}
		if (header) {
			this.response.getHeaders().put(RequestHeaders.OUTCOME, outcome);
		}
		writeProblem(this.response, this.callback, outcome, problem);
	}

	static void writeProblem(Response response, Callback callback, String outcome, Problem problem) {
		ObjectNode body = JSON.createObjectNode()
			.put("outcome", outcome)
			.put("kind", problem.kind().name())
			.put("message", problem.message())
			.put("remedy", problem.remedy());
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		response.setStatus(problem.kind().httpStatus());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

}
