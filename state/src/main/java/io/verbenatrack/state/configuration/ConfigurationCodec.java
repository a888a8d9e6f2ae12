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
 * Turns configuration commands and their results into bytes and back.
 */
public final class ConfigurationCodec {

	/** The newest format that this program knows. */
	static final int FORMAT = 1;

	private ConfigurationCodec() {
	}

	/**
	 * Encodes a change.
	 * @param change names the change; a resend carries the same
	 * @param operator who makes it
	 * @param expectedRevision the number of the revision it was made from
	 * @param declarations all of the new declarations, in any encoding
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

	static ConfigurationCommand command(byte[] bytes) {
		try {
			ConfigurationCommand command = ConfigurationCommand.parseFrom(bytes);
			FormatVersions.requireKnown("configuration command", command.getFormat(), FORMAT);
			return command;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A configuration command cannot be read. Start the release that wrote it.",
					ex);
		}
	}

	/**
	 * Decodes what {@link ConfigurationState#apply} returned.
	 * @param change the change it was asked for
	 * @param bytes the result
	 * @return what became of the change
	 */
	public static ChangeResult result(ChangeId change, byte[] bytes) {
		try {
			return result(change, ConfigurationOutcome.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("The result of change " + change + " cannot be read. Ask again.", ex);
		}
	}

	private static ChangeResult result(ChangeId change, ConfigurationOutcome outcome) {
		Revision revision = new Revision(outcome.getEpoch(), outcome.getRevision());
		return switch (outcome.getKind()) {
			case ACCEPTED -> new ChangeResult.Accepted(revision);
			case LOST ->
				new ChangeResult.Lost(winner(outcome.getWinnerChangeId()), outcome.getWinnerOperator(), revision);
			case DIFFERENT_CHANGE -> new ChangeResult.DifferentChange(change);
			default -> throw new IllegalStateException(
					"The result of change " + change + " is of an unknown kind. Start the newer release.");
		};
	}

	static Optional<ChangeId> winner(String changeId) {
		return changeId.isEmpty() ? Optional.empty() : Optional.of(new ChangeId(changeId));
	}

}
