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
 * Turns claim commands and their replies into bytes and back.
 */
public final class ClaimCodec {

	/** The newest format that this program knows. */
	static final int FORMAT = 1;

	private ClaimCodec() {
	}

	/**
	 * Encodes a claim.
	 * @param request the request
	 * @param account the client account
	 * @param bodyDigest the digest of the service and body, as text
	 * @param instance the instance that will dispatch it
	 * @param attempt the dispatch
	 * @param expiry when it may be forgotten
	 * @return the command
	 */
	public static byte[] claim(RequestId request, AccountId account, String bodyDigest, InstanceId instance,
			AttemptId attempt, Instant expiry) {
		return command(ClaimCommand.newBuilder()
			.setClaim(Claim.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setBodyDigest(bodyDigest)
				.setInstance(instance.value())
				.setAttempt(attempt.value())
				.setExpiresEpochMillis(expiry.toEpochMilli())));
	}

	/**
	 * Encodes an answer to keep.
	 * @param request the request
	 * @param account the client account
	 * @param attempt the dispatch that the claim was for
	 * @param answer the answer, in any encoding
	 * @return the command
	 */
	public static byte[] keepAnswer(RequestId request, AccountId account, AttemptId attempt, byte[] answer) {
		return command(ClaimCommand.newBuilder()
			.setKeepAnswer(KeepAnswer.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setAttempt(attempt.value())
				.setAnswer(ByteString.copyFrom(answer))));
	}

	/**
	 * Encodes the release of a claim whose dispatch is proven not to have begun.
	 * @param request the request
	 * @param account the client account
	 * @param attempt the dispatch that the claim was for
	 * @return the command
	 */
	public static byte[] release(RequestId request, AccountId account, AttemptId attempt) {
		return command(ClaimCommand.newBuilder()
			.setRelease(ReleaseClaim.newBuilder()
				.setRequestId(request.value())
				.setAccount(account.value())
				.setAttempt(attempt.value())));
	}

	/**
	 * Encodes the removal of what has expired.
	 * @param now the time on the leader's clock
	 * @return the command
	 */
	public static byte[] expire(Instant now) {
		return command(
				ClaimCommand.newBuilder().setExpire(ExpireClaims.newBuilder().setNowEpochMillis(now.toEpochMilli())));
	}

	private static byte[] command(ClaimCommand.Builder command) {
		return command.setFormat(FORMAT).build().toByteArray();
	}

	static ClaimCommand command(byte[] bytes) {
		try {
			ClaimCommand command = ClaimCommand.parseFrom(bytes);
			FormatVersions.requireKnown("claim command", command.getFormat(), FORMAT);
			return command;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A claim command cannot be read. Start the release that wrote it.", ex);
		}
	}

	/**
	 * Decodes what {@link ClaimState#apply} returned.
	 * @param bytes the result
	 * @return the reply
	 */
	public static ClaimReply reply(byte[] bytes) {
		try {
			return reply(ClaimOutcome.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("The reply to a claim cannot be read. Ask again.", ex);
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
			default ->
				throw new IllegalStateException("The reply to a claim is of an unknown kind. Start the newer release.");
		};
	}

}
