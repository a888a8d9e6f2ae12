package io.verbenatrack.server.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Answers for an instance that holds no copy of the control log.
 */
public final class NonReplicaExecutor implements CommandExecutor {

	@Override
	public CompletableFuture<EntryReply> execute(EntryCommand command) {
		return CompletableFuture.completedFuture(new EntryReply.NotLeading(Optional.empty()));
	}

}
