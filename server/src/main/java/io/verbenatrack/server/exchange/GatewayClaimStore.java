package io.verbenatrack.server.exchange;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.ClaimResult;
import io.verbenatrack.routing.ClaimStore;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;

/**
 * A claim store that is replicated to a quorum of the control replicas.
 */
public final class GatewayClaimStore implements ClaimStore {

	private final CommandExecutor executor;

	private final InstanceId self;

	private final Duration retention;

	/**
	 * Creates the store.
	 * @param executor executes commands on the leading replica
	 * @param self this instance
	 * @param retention how long a claim is retained; longer than the longest request
	 * timeout
	 */
	public GatewayClaimStore(CommandExecutor executor, InstanceId self, Duration retention) {
		this.executor = executor;
		this.self = self;
		this.retention = retention;
	}

	@Override
	public CompletableFuture<ClaimResult> claim(RequestSpec request, BodyDigest body, AttemptId attempt) {
		return this.executor
			.execute(new EntryCommand.ClaimRequest(request, body.hex(), attempt, this.self, this.retention))
			.thenApply(GatewayClaimStore::result);
	}

	private static ClaimResult result(EntryReply reply) {
		return switch (reply) {
			case EntryReply.ClaimGranted granted -> new ClaimResult.Granted();
			case EntryReply.ClaimHeld held -> new ClaimResult.AlreadyRunning(held.holder(), held.attempt());
			case EntryReply.ClaimAnswered answered -> new ClaimResult.Answered(answered.answer());
			case EntryReply.ClaimDiffers differs -> new ClaimResult.DifferentRequest();
			case EntryReply.Failed failed when failed.problem().kind() == ProblemKind.UNKNOWN_OUTCOME ->
				new ClaimResult.Unknown(failed.problem());
			case EntryReply.Failed failed -> new ClaimResult.Unavailable(failed.problem());
			default -> new ClaimResult.Unavailable(CommandProblems.noLeader());
		};
	}

	@Override
	public CompletableFuture<Boolean> keepAnswer(RequestSpec request, AttemptId claimed, KeptAnswer answer) {
		return executeAndCheckRecorded(new EntryCommand.KeepAnswer(request, claimed, answer));
	}

	@Override
	public CompletableFuture<Boolean> release(RequestSpec request, AttemptId attempt) {
		return executeAndCheckRecorded(new EntryCommand.ReleaseClaim(request, attempt));
	}

	private CompletableFuture<Boolean> executeAndCheckRecorded(EntryCommand command) {
		return this.executor.execute(command).thenApply((reply) -> reply instanceof EntryReply.Recorded);
	}

}
