package io.verbenatrack.server.leader;

import java.util.concurrent.CompletableFuture;

import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Carries out commands on this replica, if it leads.
 */
public final class LocalExecutor implements CommandExecutor {

	private final LeaderDuty scheduling;

	private final ReplicatedCommands replicated;

	/**
	 * Creates the executor.
	 * @param scheduling decides on jobs
	 * @param replicated carries out what the state machines decide
	 */
	public LocalExecutor(LeaderDuty scheduling, ReplicatedCommands replicated) {
		this.scheduling = scheduling;
		this.replicated = replicated;
	}

	@Override
	public CompletableFuture<EntryReply> execute(EntryCommand command) {
		if (command instanceof EntryCommand.Replicated direct) {
			return this.replicated.execute(direct);
		}
		return this.scheduling.execute(command);
	}

	/**
	 * Forgets claims and answers whose time is over, if this replica leads.
	 */
	public void expireClaims() {
		this.replicated.expireClaims();
	}

}
