package io.verbenatrack.state.claims;

import java.util.LinkedHashMap;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.protocol.claims.Claim;
import io.verbenatrack.protocol.claims.ClaimCommand;
import io.verbenatrack.protocol.claims.ClaimOutcome;
import io.verbenatrack.protocol.claims.ClaimSnapshot;
import io.verbenatrack.protocol.claims.KeepAnswer;
import io.verbenatrack.protocol.claims.ReleaseClaim;
import io.verbenatrack.state.FormatVersions;

/**
 * Decides which attempt may dispatch a request that is not idempotent. The first claim is
 * granted, and no other until the first is released.
 *
 * <p>
 * Deterministic: the same commands in the same order give the same state. Not
 * thread-safe.
 */
public final class ClaimState {

	private final Map<Key, ClaimSnapshot.Held> claims = new LinkedHashMap<>();

	private final int maximumClaims;

	private final long maximumAnswerBytes;

	private long answerBytes;

	/**
	 * Creates a state without claims.
	 * @param maximumClaims the maximum number of claims held at the same time
	 * @param maximumAnswerBytes the total size of stored answers, in bytes, from which on
	 * no claim is granted
	 */
	public ClaimState(int maximumClaims, long maximumAnswerBytes) {
		this.maximumClaims = maximumClaims;
		this.maximumAnswerBytes = maximumAnswerBytes;
	}

	/**
	 * Returns the number of claims held.
	 * @return the number of claims, including answered ones
	 */
	public int size() {
		return this.claims.size();
	}

	/**
	 * Applies a command of {@link ClaimCodec}.
	 * @param command the encoded command
	 * @return the result, to be decoded with {@link ClaimCodec#reply}
	 * @throws IllegalStateException if the command cannot be decoded or has a newer
	 * format
	 */
	public byte[] apply(byte[] command) {
		ClaimCommand decoded = ClaimCodec.decodeCommand(command);
		ClaimOutcome outcome = switch (decoded.getBodyCase()) {
			case CLAIM -> claim(decoded.getClaim());
			case KEEP_ANSWER -> keepAnswer(decoded.getKeepAnswer());
			case RELEASE -> release(decoded.getRelease());
			case EXPIRE -> expire(decoded.getExpire().getNowEpochMillis());
			case BODY_NOT_SET ->
				throw new IllegalStateException("A claim command has an unknown kind. Start the newer release.");
		};
		return outcome.toByteArray();
	}

	private ClaimOutcome claim(Claim claim) {
		Key key = new Key(claim.getAccount(), claim.getRequestId());
		ClaimSnapshot.Held held = this.claims.get(key);
		if (held == null) {
			return grant(key, claim);
		}
		if (!held.getClaim().getBodyDigest().equals(claim.getBodyDigest())) {
			return outcome(ClaimOutcome.Kind.DIFFERENT_REQUEST);
		}
		if (held.getKept()) {
			return ClaimOutcome.newBuilder().setKind(ClaimOutcome.Kind.KEPT).setAnswer(held.getAnswer()).build();
		}
		boolean retry = held.getClaim().getAttempt().equals(claim.getAttempt());
		return retry ? outcome(ClaimOutcome.Kind.GRANTED) : alreadyRunning(held);
	}

	private ClaimOutcome grant(Key key, Claim claim) {
		if (this.claims.size() >= this.maximumClaims || this.answerBytes >= this.maximumAnswerBytes) {
			return outcome(ClaimOutcome.Kind.TOO_MANY_CLAIMS);
		}
		this.claims.put(key, ClaimSnapshot.Held.newBuilder().setClaim(claim).build());
		return outcome(ClaimOutcome.Kind.GRANTED);
	}

	private ClaimOutcome keepAnswer(KeepAnswer command) {
		Key key = new Key(command.getAccount(), command.getRequestId());
		ClaimSnapshot.Held held = this.claims.get(key);
		if (held == null) {
			return outcome(ClaimOutcome.Kind.NO_SUCH_CLAIM);
		}
		if (!held.getClaim().getAttempt().equals(command.getAttempt())) {
			return alreadyRunning(held);
		}
		if (!held.getKept()) {
			this.claims.put(key, held.toBuilder().setKept(true).setAnswer(command.getAnswer()).build());
			this.answerBytes += command.getAnswer().size();
		}
		return outcome(ClaimOutcome.Kind.DONE);
	}

	private ClaimOutcome release(ReleaseClaim command) {
		Key key = new Key(command.getAccount(), command.getRequestId());
		ClaimSnapshot.Held held = this.claims.get(key);
		if (held == null) {
			return outcome(ClaimOutcome.Kind.NO_SUCH_CLAIM);
		}
		if (held.getKept()) {
			return ClaimOutcome.newBuilder().setKind(ClaimOutcome.Kind.KEPT).setAnswer(held.getAnswer()).build();
		}
		if (!held.getClaim().getAttempt().equals(command.getAttempt())) {
			return alreadyRunning(held);
		}
		this.claims.remove(key);
		return outcome(ClaimOutcome.Kind.DONE);
	}

	private ClaimOutcome expire(long nowEpochMillis) {
		int before = this.claims.size();
		this.claims.values().removeIf((held) -> {
			boolean expired = held.getClaim().getExpiresEpochMillis() <= nowEpochMillis;
			this.answerBytes -= expired ? held.getAnswer().size() : 0;
			return expired;
		});
		return ClaimOutcome.newBuilder()
			.setKind(ClaimOutcome.Kind.EXPIRED)
			.setExpired(before - this.claims.size())
			.build();
	}

	private static ClaimOutcome outcome(ClaimOutcome.Kind kind) {
		return ClaimOutcome.newBuilder().setKind(kind).build();
	}

	private static ClaimOutcome alreadyRunning(ClaimSnapshot.Held held) {
		return ClaimOutcome.newBuilder()
			.setKind(ClaimOutcome.Kind.ALREADY_RUNNING)
			.setInstance(held.getClaim().getInstance())
			.setAttempt(held.getClaim().getAttempt())
			.build();
	}

	/**
	 * Takes a snapshot of the complete state.
	 * @return the snapshot, in a versioned format
	 */
	public byte[] snapshot() {
		return ClaimSnapshot.newBuilder()
			.setFormat(ClaimCodec.FORMAT)
			.addAllHeld(this.claims.values())
			.build()
			.toByteArray();
	}

	/**
	 * Replaces the complete state by a snapshot.
	 * @param snapshot a snapshot taken with {@link #snapshot()}
	 * @throws IllegalStateException if the snapshot has a newer format or is corrupt
	 */
	public void restore(byte[] snapshot) {
		ClaimSnapshot decoded = decode(snapshot);
		FormatVersions.requireSupported("claim snapshot", decoded.getFormat(), ClaimCodec.FORMAT);
		this.claims.clear();
		this.answerBytes = 0;
		for (ClaimSnapshot.Held held : decoded.getHeldList()) {
			this.claims.put(new Key(held.getClaim().getAccount(), held.getClaim().getRequestId()), held);
			this.answerBytes += held.getAnswer().size();
		}
	}

	private static ClaimSnapshot decode(byte[] snapshot) {
		try {
			return ClaimSnapshot.parseFrom(ByteString.copyFrom(snapshot));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(
					"The claim snapshot cannot be decoded. Move the data folder away and restart"
							+ " with an empty one; it is restored from the other replicas.",
					ex);
		}
	}

	private record Key(String account, String request) {

	}

}
