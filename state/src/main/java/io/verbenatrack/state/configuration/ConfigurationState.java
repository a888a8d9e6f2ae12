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
 * Decides configuration changes: of those that expect the same revision, the first wins.
 *
 * <p>
 * The same commands in the same order give the same state. Changed by one thread; the
 * configuration in force may be read by any.
 */
public final class ConfigurationState {

	/** How many changes are remembered for resends: about three days of changes. */
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
	 * @param listener hears each accepted configuration, on the applying thread
	 */
	public ConfigurationState(Consumer<ConfigurationInForce> listener) {
		this.listener = listener;
	}

	/**
	 * The latest accepted configuration.
	 * @return the configuration
	 */
	public ConfigurationInForce inForce() {
		return this.inForce;
	}

	/**
	 * Whether a change has its outcome, so that a resend only asks for it again.
	 * @param change the change
	 * @return whether the outcome is remembered
	 */
	public synchronized boolean remembers(ChangeId change) {
		return this.remembered.containsKey(change.value());
	}

	/**
	 * Applies a command of {@link ConfigurationCodec}.
	 * @param command the command
	 * @return the result for {@link ConfigurationCodec#result}
	 * @throws IllegalStateException when the command is of a newer format
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
	 * Raises the epoch after the recovery of a lost quorum, so that no instance goes back
	 * behind what it holds.
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
	 * Copies the whole state.
	 * @return the state in a versioned format
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
	 * Replaces the whole state.
	 * @param snapshot what {@link #snapshot()} returned
	 * @throws IllegalStateException when the snapshot is of a newer format or damaged
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
			throw new IllegalStateException("The configuration snapshot cannot be read. Move the data folder away and"
					+ " start with an empty one; the other replicas fill it.", ex);
		}
	}

}
