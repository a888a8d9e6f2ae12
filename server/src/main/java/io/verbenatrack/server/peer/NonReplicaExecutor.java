package io.verbenatrack.server.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * The executor of an instance that is not a control replica; it executes no command.
 */
public final class NonReplicaExecutor implements CommandExecutor {

	@Override
	public CompletableFuture<EntryReply> execute(EntryCommand command) {
		return CompletableFuture.completedFuture(new EntryReply.NotLeading(Optional.empty()));
	}

}
