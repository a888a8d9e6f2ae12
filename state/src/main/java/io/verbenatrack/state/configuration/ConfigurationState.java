package io.verbenatrack.state.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.configuration.ConfigurationChange;
import io.verbenatrack.protocol.configuration.ConfigurationCommand;
import io.verbenatrack.protocol.configuration.ConfigurationOutcome;
import io.verbenatrack.protocol.configuration.ConfigurationSnapshot;
import io.verbenatrack.protocol.configuration.RememberedChange;
import io.verbenatrack.state.FormatVersions;

/**
 * Decides on configuration changes by optimistic concurrency control: of several changes
 * with the same expected revision, the first is accepted.
 *
 * <p>
 * Deterministic: the same commands in the same order give the same state. Only one thread
 * changes the state; any thread may read the latest configuration.
 */
public final class ConfigurationState {

	/**
	 * The number of changes whose results are retained for retries, enough for about
	 * three days of changes.
	 */
	public static final int MAXIMUM_REMEMBERED = 1_000;

	private final Map<String, RememberedChange> remembered = new LinkedHashMap<>();

	private final Consumer<ConfigurationInForce> listener;

	private volatile ConfigurationInForce inForce = ConfigurationInForce.NONE;

	/** Creates the state before any change. */
	public ConfigurationState() {
		this((accepted) -> {
		});
	}

	/**
	 * Creates the state before any change.
	 * @param listener notified of each accepted configuration, on the thread that applies
	 * it
	 */
	public ConfigurationState(Consumer<ConfigurationInForce> listener) {
		this.listener = listener;
	}

	/**
	 * Returns the latest accepted configuration.
	 * @return the configuration
	 */
	public ConfigurationInForce inForce() {
		return this.inForce;
	}

	/**
	 * Returns whether the result of a change is retained, so that a retry only fetches
	 * it.
	 * @param change the change
	 * @return true if the result is retained
	 */
	public synchronized boolean remembers(ChangeId change) {
		return this.remembered.containsKey(change.value());
	}

	/**
	 * Applies a command of {@link ConfigurationCodec}.
	 * @param command the encoded command
	 * @return the result, to be decoded with {@link ConfigurationCodec#result}
	 * @throws IllegalStateException if the command cannot be decoded or has a newer
	 * format
	 */
	public synchronized byte[] apply(byte[] command) {
		ConfigurationCommand decoded = ConfigurationCodec.command(command);
		return change(decoded.getChange()).toByteArray();
	}

	private ConfigurationOutcome change(ConfigurationChange change) {
		RememberedChange earlier = this.remembered.get(change.getChangeId());
		if (earlier != null) {
			return earlier.getDigest().equals(digest(change)) ? earlier.getOutcome() : differentChange();
		}
		ConfigurationOutcome outcome = decide(change);
		remember(RememberedChange.newBuilder()
			.setChangeId(change.getChangeId())
			.setDigest(digest(change))
			.setOutcome(outcome)
			.build());
		return outcome;
	}

	private ConfigurationOutcome decide(ConfigurationChange change) {
		Revision present = this.inForce.revision();
		if (change.getExpectedRevision() != present.number()) {
			return ConfigurationOutcome.newBuilder()
				.setKind(ConfigurationOutcome.Kind.LOST)
				.setEpoch(present.epoch())
				.setRevision(present.number())
				.setWinnerChangeId(this.inForce.change().map(ChangeId::value).orElse(""))
				.setWinnerOperator(this.inForce.operator())
				.build();
		}
		Revision next = present.next();
		enforce(new ConfigurationInForce(next, ConfigurationCodec.winner(change.getChangeId()), change.getOperator(),
				change.getDeclarations()));
		return ConfigurationOutcome.newBuilder()
			.setKind(ConfigurationOutcome.Kind.ACCEPTED)
			.setEpoch(next.epoch())
			.setRevision(next.number())
			.build();
	}

	private void enforce(ConfigurationInForce next) {
		this.inForce = next;
		this.listener.accept(next);
	}

	private static ConfigurationOutcome differentChange() {
		return ConfigurationOutcome.newBuilder().setKind(ConfigurationOutcome.Kind.DIFFERENT_CHANGE).build();
	}

	private static ByteString digest(ConfigurationChange change) {
		return Digests.sha256(change.toByteArray());
	}

	private void remember(RememberedChange change) {
		this.remembered.put(change.getChangeId(), change);
		if (this.remembered.size() > MAXIMUM_REMEMBERED) {
			this.remembered.remove(this.remembered.keySet().iterator().next());
		}
	}

	/**
	 * Raises the epoch after the recovery of a lost quorum, so that no instance reverts
	 * to an older configuration than the one it already applies. A lower epoch has no
	 * effect.
	 * @param epoch the new epoch
	 */
	public synchronized void raiseEpoch(long epoch) {
		ConfigurationInForce present = this.inForce;
		if (epoch > present.revision().epoch()) {
			enforce(new ConfigurationInForce(new Revision(epoch, present.revision().number()), present.change(),
					present.operator(), present.declarations()));
		}
	}

	/**
	 * Takes a snapshot of the complete state.
	 * @return the snapshot, in a versioned format
	 */
	public synchronized byte[] snapshot() {
		return ConfigurationSnapshot.newBuilder()
			.setFormat(ConfigurationCodec.FORMAT)
			.setEpoch(this.inForce.revision().epoch())
			.setRevision(this.inForce.revision().number())
			.setDeclarations(this.inForce.declarations())
			.setChangeId(this.inForce.change().map(ChangeId::value).orElse(""))
			.setOperator(this.inForce.operator())
			.addAllRemembered(this.remembered.values())
			.build()
			.toByteArray();
	}

	/**
	 * Replaces the complete state by a snapshot.
	 * @param snapshot a snapshot taken with {@link #snapshot()}
	 * @throws IllegalStateException if the snapshot has a newer format or is corrupt
	 */
	public synchronized void restore(byte[] snapshot) {
		ConfigurationSnapshot decoded = decode(snapshot);
		FormatVersions.requireKnown("configuration snapshot", decoded.getFormat(), ConfigurationCodec.FORMAT);
		this.remembered.clear();
		decoded.getRememberedList().forEach((change) -> this.remembered.put(change.getChangeId(), change));
		enforce(new ConfigurationInForce(new Revision(decoded.getEpoch(), decoded.getRevision()),
				ConfigurationCodec.winner(decoded.getChangeId()), decoded.getOperator(), decoded.getDeclarations()));
	}

	private static ConfigurationSnapshot decode(byte[] snapshot) {
		try {
			return ConfigurationSnapshot.parseFrom(snapshot);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(
					"The configuration snapshot cannot be decoded. Move the data folder away and"
							+ " restart with an empty one; it is restored from the other replicas.",
					ex);
		}
	}

}
