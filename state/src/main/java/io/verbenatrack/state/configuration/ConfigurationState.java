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
	public static final int MAXIMUM_RETAINED_CHANGES = 1_000;

	private final Map<String, RememberedChange> retainedChanges = new LinkedHashMap<>();

	private final Consumer<AcceptedConfiguration> listener;

	private volatile AcceptedConfiguration latest = AcceptedConfiguration.NONE;

	/** Creates a state without an accepted configuration. */
	public ConfigurationState() {
		this((accepted) -> {
		});
	}

	/**
	 * Creates a state without an accepted configuration.
	 * @param listener notified of each accepted configuration, on the thread that applies
	 * it
	 */
	public ConfigurationState(Consumer<AcceptedConfiguration> listener) {
		this.listener = listener;
	}

	/**
	 * Returns the latest accepted configuration.
	 * @return the configuration
	 */
	public AcceptedConfiguration latest() {
		return this.latest;
	}

	/**
	 * Returns whether the result of a change is retained, so that a retry only fetches
	 * it.
	 * @param change the change
	 * @return true if the result is retained
	 */
	public synchronized boolean hasResult(ChangeId change) {
		return this.retainedChanges.containsKey(change.value());
	}

	/**
	 * Applies a command of {@link ConfigurationCodec}.
	 * @param command the encoded command
	 * @return the result, to be decoded with {@link ConfigurationCodec#result}
	 * @throws IllegalStateException if the command cannot be decoded or has a newer
	 * format
	 */
	public synchronized byte[] apply(byte[] command) {
		ConfigurationCommand decoded = ConfigurationCodec.decodeCommand(command);
		return applyChange(decoded.getChange()).toByteArray();
	}

	private ConfigurationOutcome applyChange(ConfigurationChange change) {
		RememberedChange previous = this.retainedChanges.get(change.getChangeId());
		if (previous != null) {
			return previous.getDigest().equals(digest(change)) ? previous.getOutcome() : differentChange();
		}
		ConfigurationOutcome outcome = decide(change);
		retain(RememberedChange.newBuilder()
			.setChangeId(change.getChangeId())
			.setDigest(digest(change))
			.setOutcome(outcome)
			.build());
		return outcome;
	}

	private ConfigurationOutcome decide(ConfigurationChange change) {
		Revision current = this.latest.revision();
		if (change.getExpectedRevision() != current.number()) {
			return ConfigurationOutcome.newBuilder()
				.setKind(ConfigurationOutcome.Kind.LOST)
				.setEpoch(current.epoch())
				.setRevision(current.number())
				.setWinnerChangeId(this.latest.change().map(ChangeId::value).orElse(""))
				.setWinnerOperator(this.latest.operator())
				.build();
		}
		Revision next = current.next();
		replaceLatest(new AcceptedConfiguration(next, ConfigurationCodec.changeId(change.getChangeId()),
				change.getOperator(), change.getDeclarations()));
		return ConfigurationOutcome.newBuilder()
			.setKind(ConfigurationOutcome.Kind.ACCEPTED)
			.setEpoch(next.epoch())
			.setRevision(next.number())
			.build();
	}

	private void replaceLatest(AcceptedConfiguration next) {
		this.latest = next;
		this.listener.accept(next);
	}

	private static ConfigurationOutcome differentChange() {
		return ConfigurationOutcome.newBuilder().setKind(ConfigurationOutcome.Kind.DIFFERENT_CHANGE).build();
	}

	private static ByteString digest(ConfigurationChange change) {
		return Digests.sha256(change.toByteArray());
	}

	private void retain(RememberedChange change) {
		this.retainedChanges.put(change.getChangeId(), change);
		if (this.retainedChanges.size() > MAXIMUM_RETAINED_CHANGES) {
			this.retainedChanges.remove(this.retainedChanges.keySet().iterator().next());
		}
	}

	/**
	 * Raises the epoch after the recovery of a lost quorum, so that no instance reverts
	 * to an older configuration than the one it already applies. A lower epoch has no
	 * effect.
	 * @param epoch the new epoch
	 */
	public synchronized void raiseEpoch(long epoch) {
		AcceptedConfiguration current = this.latest;
		if (epoch > current.revision().epoch()) {
			replaceLatest(new AcceptedConfiguration(new Revision(epoch, current.revision().number()), current.change(),
					current.operator(), current.declarations()));
		}
	}

	/**
	 * Takes a snapshot of the complete state.
	 * @return the snapshot, in a versioned format
	 */
	public synchronized byte[] snapshot() {
		return ConfigurationSnapshot.newBuilder()
			.setFormat(ConfigurationCodec.FORMAT)
			.setEpoch(this.latest.revision().epoch())
			.setRevision(this.latest.revision().number())
			.setDeclarations(this.latest.declarations())
			.setChangeId(this.latest.change().map(ChangeId::value).orElse(""))
			.setOperator(this.latest.operator())
			.addAllRemembered(this.retainedChanges.values())
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
		FormatVersions.requireSupported("configuration snapshot", decoded.getFormat(), ConfigurationCodec.FORMAT);
		this.retainedChanges.clear();
		decoded.getRememberedList().forEach((change) -> this.retainedChanges.put(change.getChangeId(), change));
		replaceLatest(new AcceptedConfiguration(new Revision(decoded.getEpoch(), decoded.getRevision()),
				ConfigurationCodec.changeId(decoded.getChangeId()), decoded.getOperator(), decoded.getDeclarations()));
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
