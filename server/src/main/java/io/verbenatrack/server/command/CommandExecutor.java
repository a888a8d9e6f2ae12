package io.verbenatrack.server.command;

import java.util.concurrent.CompletableFuture;

/**
 * Executes commands.
 */
public interface CommandExecutor {

	/**
	 * Executes a command.
	 * @param command the command
	 * @return a future of the reply that never completes exceptionally
	 */
	CompletableFuture<EntryReply> execute(EntryCommand command);

}
