package io.verbenatrack.server.routing;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.LossCause;

/**
 * What the head of a target's answer says.
 */
sealed interface AnswerHead {

	/**
	 * Reads the head of an answer.
	 * @param response the answer
	 * @param attempt the dispatch that it has to name
	 * @return what it says
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
	 * A body follows that is checked against the head.
	 *
	 * @param contentType its media type, empty when there is none
	 * @param length its length in bytes
	 * @param digest its digest
	 */
	record Body(String contentType, long length, BodyDigest digest) implements AnswerHead {

	}

	/**
	 * There is no usable body.
	 *
	 * @param result what that means
	 */
	record Unusable(AttemptResult result) implements AnswerHead {

	}

}
