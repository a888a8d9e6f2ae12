package io.verbenatrack.state.claims;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;

/**
 * The reply to a claim command. A repeated command gets the same reply.
 */
public sealed interface ClaimReply {

	/** The attempt holds the claim exclusively. */
	record Granted() implements ClaimReply {

	}

	/**
	 * Another attempt holds the claim and no answer is stored yet.
	 *
	 * @param holder the instance that dispatches the request
	 * @param attempt the attempt that holds the claim
	 */
	record AlreadyRunning(InstanceId holder, AttemptId attempt) implements ClaimReply {

	}

	/**
	 * The request has been answered.
	 *
	 * @param answer the stored answer
	 */
	record Kept(ByteString answer) implements ClaimReply {

	}

	/** The request id was already used for a different request. */
	record DifferentRequest() implements ClaimReply {

	}

	/** The answer is stored, or the claim is released. */
	record Done() implements ClaimReply {

	}

	/** There is no claim on the request. */
	record NoSuchClaim() implements ClaimReply {

	}

	/** The limit on claims or on the bytes of stored answers is reached. */
	record TooManyClaims() implements ClaimReply {

	}

	/**
	 * Expired claims were removed.
	 *
	 * @param count the number of claims removed
	 */
	record Expired(int count) implements ClaimReply {

	}

}
