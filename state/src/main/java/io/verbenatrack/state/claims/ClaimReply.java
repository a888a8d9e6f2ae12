package io.verbenatrack.state.claims;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;

/**
 * What became of a claim command; the same command gets the same reply again.
 */
public sealed interface ClaimReply {

	/** The attempt holds the claim, and nobody else does. */
	record Granted() implements ClaimReply {

	}

	/**
	 * Another attempt holds the claim and has no answer yet.
	 *
	 * @param holder the instance that dispatches it
	 * @param attempt the attempt
	 */
	record AlreadyRunning(InstanceId holder, AttemptId attempt) implements ClaimReply {

	}

	/**
	 * The request was answered.
	 *
	 * @param answer the answer as it was kept
	 */
	record Kept(ByteString answer) implements ClaimReply {

	}

	/** The request id was used before for another request. */
	record DifferentRequest() implements ClaimReply {

	}

	/** The answer is kept, or the claim is given back. */
	record Done() implements ClaimReply {

	}

	/** Nobody holds a claim on the request. */
	record NoSuchClaim() implements ClaimReply {

	}

	/** There are as many claims, or as many bytes of answers, as there may be. */
	record TooManyClaims() implements ClaimReply {

	}

	/**
	 * Old claims were dropped.
	 *
	 * @param count how many
	 */
	record Expired(int count) implements ClaimReply {

	}

}
