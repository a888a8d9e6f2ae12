package io.verbenatrack.server.command;

import java.util.concurrent.CompletableFuture;

/**
 * Carries out commands.
 */
public interface CommandExecutor {

	/**
	 * Carries out a command.
	 * @param command the command
	 * @return the reply; never completes exceptionally
	 */
	CompletableFuture<EntryReply> execute(EntryCommand command);

}
