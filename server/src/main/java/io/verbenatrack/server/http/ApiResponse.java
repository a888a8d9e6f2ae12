package io.verbenatrack.server.http;

import java.nio.charset.StandardCharsets;

import io.verbenatrack.model.Problem;

/**
 * A response of the HTTP API.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 */
public record ApiResponse(int status, String contentType, byte[] body) {

	/** The media type of JSON. */
	public static final String JSON = "application/json";

	/**
	 * Creates a plain text response.
	 * @param status the HTTP status
	 * @param text the text
	 * @return the response
	 */
	public static ApiResponse text(int status, String text) {
		return new ApiResponse(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Creates a response that reports a problem.
	 * @param jsonCodec encodes JSON
	 * @param problem the problem
	 * @return the response, with the HTTP status of the problem's kind
	 */
	public static ApiResponse problem(ApiJsonCodec jsonCodec, Problem problem) {
		ProblemBody body = new ProblemBody("refused", problem.kind().name(), problem.message(), problem.remedy());
		return new ApiResponse(problem.kind().httpStatus(), JSON, jsonCodec.write(body));
	}

	private record ProblemBody(String outcome, String kind, String message, String remedy) {

	}

}
