package io.verbenatrack.routing;

import java.util.Arrays;
import java.util.Objects;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.TargetId;

/**
 * The answer to a request that is not idempotent, stored for resends of the request.
 *
 * @param attempt the dispatch that was answered
 * @param target the target that answered
 * @param contentType the media type of the body, empty when the target gave none
 * @param body the whole body, empty when it was too large to store
 * @param bodyKept whether the body was stored
 */
public record KeptAnswer(AttemptId attempt, TargetId target, String contentType, byte[] body, boolean bodyKept) {

	/** The largest body that is stored, in bytes. */
	public static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	@Override
	public boolean equals(Object other) {
		return other instanceof KeptAnswer that && this.attempt.equals(that.attempt) && this.target.equals(that.target)
				&& this.contentType.equals(that.contentType) && this.bodyKept == that.bodyKept
				&& Arrays.equals(this.body, that.body);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.attempt, this.target, this.contentType, this.bodyKept, Arrays.hashCode(this.body));
	}

}
