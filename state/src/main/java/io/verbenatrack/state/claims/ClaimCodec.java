package io.verbenatrack.state.claims;

import java.time.Instant;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.protocol.claims.Claim;
import io.verbenatrack.protocol.claims.ClaimCommand;
import io.verbenatrack.protocol.claims.ClaimOutcome;
import io.verbenatrack.protocol.claims.ExpireClaims;
import io.verbenatrack.protocol.claims.KeepAnswer;
import io.verbenatrack.protocol.claims.ReleaseClaim;
import io.verbenatrack.state.FormatVersions;

/**
 * Encodes claim commands and decodes their replies.
 */
public final class ClaimCodec {

	/** The newest format version that this release supports. */
	static final int FORMAT = 1;

	private ClaimCodec() {
	}

	/**
	 * Encodes a claim.
	 * @param request the request
	 * @param account the client account
	 * @param bodyDigest the digest of the service and the body, as text
	 * @param instance the instance that will dispatch the request
	 * @param attempt the dispatch
	 * @param expiry the time after which the claim may be removed
	 * @return the command
	 */
	public static byte[] claim(RequestId request, AccountId account, String bodyDigest, InstanceId instance,
			AttemptId attempt, Instant expiry) {
		return encode(ClaimCommand.newBuilder()
			.setClaim(Claim.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setBodyDigest(bodyDigest)
				.setInstance(instance.value())
				.setAttempt(attempt.value())
				.setExpiresEpochMillis(expiry.toEpochMilli())));
	}

	/**
	 * Encodes the command that stores the answer to a claimed request.
	 * @param request the request
	 * @param account the client account
	 * @param attempt the dispatch that holds the claim
	 * @param answer the answer, in any encoding
	 * @return the command
	 */
	public static byte[] keepAnswer(RequestId request, AccountId account, AttemptId attempt, byte[] answer) {
		return encode(ClaimCommand.newBuilder()
			.setKeepAnswer(KeepAnswer.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setAttempt(attempt.value())
				.setAnswer(ByteString.copyFrom(answer))));
	}

	/**
	 * Encodes the release of a claim, for use only when the dispatch is known not to have
	 * begun.
	 * @param request the request
	 * @param account the client account
	 * @param attempt the dispatch that holds the claim
	 * @return the command
	 */
	public static byte[] release(RequestId request, AccountId account, AttemptId attempt) {
		return encode(ClaimCommand.newBuilder()
			.setRelease(ReleaseClaim.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setAttempt(attempt.value())));
	}

	/**
	 * Encodes the removal of expired claims.
	 * @param now the current time on the leader's clock
	 * @return the command
	 */
	public static byte[] expire(Instant now) {
		return encode(
				ClaimCommand.newBuilder().setExpire(ExpireClaims.newBuilder().setNowEpochMillis(now.toEpochMilli())));
	}

	private static byte[] encode(ClaimCommand.Builder command) {
		return command.setFormat(FORMAT).build().toByteArray();
	}

	static ClaimCommand decodeCommand(byte[] bytes) {
		try {
			ClaimCommand command = ClaimCommand.parseFrom(bytes);
			FormatVersions.requireSupported("claim command", command.getFormat(), FORMAT);
			return command;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A claim command cannot be decoded. Start the release that wrote it.", ex);
		}
	}

	/**
	 * Decodes the result of {@link ClaimState#apply}.
	 * @param bytes the encoded result
	 * @return the reply
	 * @throws IllegalStateException if the result cannot be decoded or has an unknown
	 * kind
	 */
	public static ClaimReply reply(byte[] bytes) {
		try {
			return reply(ClaimOutcome.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("The reply to a claim command cannot be decoded. Send the command again.",
					ex);
		}
	}

	private static ClaimReply reply(ClaimOutcome outcome) {
		return switch (outcome.getKind()) {
			case GRANTED -> new ClaimReply.Granted();
			case ALREADY_RUNNING -> new ClaimReply.AlreadyRunning(new InstanceId(outcome.getInstance()),
					new AttemptId(outcome.getAttempt()));
			case KEPT -> new ClaimReply.Kept(outcome.getAnswer());
			case DIFFERENT_REQUEST -> new ClaimReply.DifferentRequest();
			case DONE -> new ClaimReply.Done();
			case NO_SUCH_CLAIM -> new ClaimReply.NoSuchClaim();
			case TOO_MANY_CLAIMS -> new ClaimReply.TooManyClaims();
			case EXPIRED -> new ClaimReply.Expired(outcome.getExpired());
			default -> throw new IllegalStateException(
					"The reply to a claim command has an unknown kind. Start the newer release.");
		};
	}

}
