package io.verbenatrack.state.configuration;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.configuration.ConfigurationChange;
import io.verbenatrack.protocol.configuration.ConfigurationCommand;
import io.verbenatrack.protocol.configuration.ConfigurationOutcome;
import io.verbenatrack.state.FormatVersions;

/**
 * Encodes configuration commands and decodes their results.
 */
public final class ConfigurationCodec {

	/** The newest format version that this release supports. */
	static final int FORMAT = 1;

	private ConfigurationCodec() {
	}

	/**
	 * Encodes a change.
	 * @param change the identifier of the change; a retry carries the same id
	 * @param operator the operator who makes the change
	 * @param expectedRevision the number of the revision that the change is based on
	 * @param declarations the complete new declarations, in any encoding
	 * @return the command
	 */
	public static byte[] change(ChangeId change, String operator, long expectedRevision, byte[] declarations) {
		return ConfigurationCommand.newBuilder()
			.setFormat(FORMAT)
			.setChange(ConfigurationChange.newBuilder()
				.setChangeId(change.value())
				.setOperator(operator)
				.setExpectedRevision(expectedRevision)
				.setDeclarations(ByteString.copyFrom(declarations)))
			.build()
			.toByteArray();
	}

	static ConfigurationCommand decodeCommand(byte[] bytes) {
		try {
			ConfigurationCommand command = ConfigurationCommand.parseFrom(bytes);
			FormatVersions.requireSupported("configuration command", command.getFormat(), FORMAT);
			return command;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(
					"A configuration command cannot be decoded. Start the release that wrote it.", ex);
		}
	}

	/**
	 * Decodes the result of {@link ConfigurationState#apply}.
	 * @param change the change that was applied
	 * @param bytes the encoded result
	 * @return the result of the change
	 * @throws IllegalStateException if the result cannot be decoded or has an unknown
	 * kind
	 */
	public static ChangeResult result(ChangeId change, byte[] bytes) {
		try {
			return result(change, ConfigurationOutcome.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(
					"The result of change " + change + " cannot be decoded. Send the change again.", ex);
		}
	}

	private static ChangeResult result(ChangeId change, ConfigurationOutcome outcome) {
		Revision revision = new Revision(outcome.getEpoch(), outcome.getRevision());
		return switch (outcome.getKind()) {
			case ACCEPTED -> new ChangeResult.Accepted(revision);
			case LOST ->
				new ChangeResult.Lost(changeId(outcome.getWinnerChangeId()), outcome.getWinnerOperator(), revision);
			case DIFFERENT_CHANGE -> new ChangeResult.DifferentChange(change);
			default -> throw new IllegalStateException(
					"The result of change " + change + " has an unknown kind. Start the newer release.");
		};
	}

	static Optional<ChangeId> changeId(String value) {
		return value.isEmpty() ? Optional.empty() : Optional.of(new ChangeId(value));
	}

}
