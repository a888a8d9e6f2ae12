package io.verbenatrack.server.command;

import io.verbenatrack.state.RecordCodec;

/**
 * Encodes commands and replies for calls between instances.
 */
public final class CommandCodec {

	private final RecordCodec codec = RecordCodec.cbor(EntryCommand.class, EntryReply.class, WorkerReport.class);

	/**
	 * Encodes a command.
	 * @param command the command
	 * @return its bytes
	 */
	public byte[] encode(EntryCommand command) {
		return this.codec.encode(command);
	}

	/**
	 * Encodes a reply.
	 * @param reply the reply
	 * @return its bytes
	 */
	public byte[] encode(EntryReply reply) {
		return this.codec.encode(reply);
	}

	/**
	 * Decodes a command.
	 * @param bytes the bytes
	 * @return the command
	 * @throws java.io.UncheckedIOException if the bytes are not a valid command
	 */
	public EntryCommand decodeCommand(byte[] bytes) {
		return this.codec.decode(bytes, EntryCommand.class);
	}

	/**
	 * Decodes a reply.
	 * @param bytes the bytes
	 * @return the reply
	 * @throws java.io.UncheckedIOException if the bytes are not a valid reply
	 */
	public EntryReply decodeReply(byte[] bytes) {
		return this.codec.decode(bytes, EntryReply.class);
	}

}
