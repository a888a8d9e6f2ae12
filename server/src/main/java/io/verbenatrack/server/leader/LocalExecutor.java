package io.verbenatrack.server.leader;

import java.util.concurrent.CompletableFuture;

import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * Executes commands on this replica if it is the leader.
 */
public final class LocalExecutor implements CommandExecutor {

	private final LeaderDuty scheduling;

	private final ReplicatedCommands replicated;

	/**
	 * Creates the executor.
	 * @param scheduling executes the commands that the scheduler decides
	 * @param replicated executes the commands that the state machines decide
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
	 * Removes expired claims and their answers if this replica is the leader.
	 */
	public void expireClaims() {
		this.replicated.expireClaims();
	}

}
