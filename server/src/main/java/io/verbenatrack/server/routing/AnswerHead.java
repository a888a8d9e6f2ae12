package io.verbenatrack.server.routing;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.LossCause;

/**
 * The parsed head of a target's answer.
 */
sealed interface AnswerHead {

	/**
	 * Parses the head of an answer.
	 * @param response the answer
	 * @param attempt the dispatch attempt that the answer has to name
	 * @return the parsed head
	 */
	static AnswerHead read(Response response, AttemptId attempt) {
		HttpFields headers = response.getHeaders();
		if (!attempt.value().equals(headers.get(RequestHeaders.ATTEMPT))) {
			LossCause cause = (headers.get(RequestHeaders.ATTEMPT) != null) ? LossCause.FOREIGN
					: (response.getStatus() != 200) ? LossCause.TARGET_ERROR : LossCause.GARBAGE;
			return new Unusable(new AttemptResult.Lost(cause));
		}
		if (response.getStatus() == 503 && "true".equals(headers.get(RequestHeaders.NOT_BEGUN))) {
			return new Unusable(new AttemptResult.NotBegun());
		}
		if (response.getStatus() != 200) {
			return new Unusable(new AttemptResult.Lost(LossCause.TARGET_ERROR));
		}
		return readBody(headers);
	}

	private static AnswerHead readBody(HttpFields headers) {
		long length = headers.getLongField(HttpHeader.CONTENT_LENGTH);
		BodyDigest digest = BodyDigest.parse(headers.get(RequestHeaders.DIGEST)).orElse(null);
		if (length < 0 || digest == null) {
			return new Unusable(new AttemptResult.Lost(LossCause.GARBAGE));
		}
		String contentType = headers.get(HttpHeader.CONTENT_TYPE);
		return new Body((contentType != null) ? contentType : "", length, digest);
	}

	/**
	 * The head of an answer whose body has to match its length and digest.
	 *
	 * @param contentType the media type of the body, empty if there is none
	 * @param length the length of the body in bytes
	 * @param digest the digest of the body
	 */
	record Body(String contentType, long length, BodyDigest digest) implements AnswerHead {

	}

	/**
	 * The head of an answer without a usable body.
	 *
	 * @param result the result of the attempt
	 */
	record Unusable(AttemptResult result) implements AnswerHead {

	}

}
