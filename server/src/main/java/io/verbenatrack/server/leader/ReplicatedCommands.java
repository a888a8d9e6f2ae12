package io.verbenatrack.server.leader;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.scheduling.admission.FleetPacker;
import io.verbenatrack.scheduling.admission.GuaranteeConflict;
import io.verbenatrack.scheduling.admission.SmallestConflict;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.server.configuration.DeclarationsDecoder;
import io.verbenatrack.server.log.CommandKind;
import io.verbenatrack.server.log.JobsState;
import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimCodec;
import io.verbenatrack.state.claims.ClaimReply;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.AcceptedConfiguration;
import io.verbenatrack.state.configuration.ChangeResult;
import io.verbenatrack.state.configuration.ConfigurationCodec;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * Executes the commands whose outcome is decided by the replicated state machines.
 */
public final class ReplicatedCommands {

	private final ReplicatedLog log;

	private final ConfigurationState configuration;

	private final ClaimState claims;

	private final JobsState jobs;

	private final RecordCodec codec;

	private final InstantSource wallClock;

	/**
	 * Creates the executor.
	 * @param log the control log
	 * @param configuration the accepted declarations
	 * @param claims the claims on requests
	 * @param jobs provides the workers on which the guarantees must fit
	 * @param codec encodes stored answers
	 * @param wallClock provides the time for the expiry of claims
	 */
	public ReplicatedCommands(ReplicatedLog log, ConfigurationState configuration, ClaimState claims, JobsState jobs,
			RecordCodec codec, InstantSource wallClock) {
		this.log = log;
		this.configuration = configuration;
		this.claims = claims;
		this.jobs = jobs;
		this.codec = codec;
		this.wallClock = wallClock;
	}

	/**
	 * Executes a command.
	 * @param command the command
	 * @return a future of the reply that never completes exceptionally
	 */
	public CompletableFuture<EntryReply> execute(EntryCommand.Replicated command) {
		return switch (command) {
			case EntryCommand.ChangeDeclarations change -> change(change);
			case EntryCommand.FetchDeclarations fetch -> fetchDeclarations();
			case EntryCommand.ClaimRequest claim -> claim(claim);
			case EntryCommand.KeepAnswer keep -> propose(CommandKind.CLAIM, ClaimCodec.keepAnswer(keep.request().id(),
					keep.request().account(), keep.attempt(), this.codec.encode(keep.answer())), this::claimReply);
			case EntryCommand.ReleaseClaim release -> propose(CommandKind.CLAIM,
					ClaimCodec.release(release.request().id(), release.request().account(), release.attempt()),
					this::claimReply);
		};
	}

	private CompletableFuture<EntryReply> change(EntryCommand.ChangeDeclarations change) {
		Optional<GuaranteeConflict> conflict = guaranteeConflict(change);
		if (conflict.isPresent()) {
			return CompletableFuture.completedFuture(new EntryReply.Failed(conflict.get().problem()));
		}
		byte[] declarations = DeclarationsJson.write(change.declarations()).getBytes(StandardCharsets.UTF_8);
		byte[] command = ConfigurationCodec.change(change.change(), change.operator(), change.expectedRevision(),
				declarations);
		return propose(CommandKind.CONFIGURATION, command,
				(result) -> changeReply(ConfigurationCodec.result(change.change(), result)));
	}

	// A resent change keeps its first outcome even if the fleet has changed since.
	// Without known workers the guarantees cannot be checked.
	private Optional<GuaranteeConflict> guaranteeConflict(EntryCommand.ChangeDeclarations change) {
		if (!this.log.leads() || this.configuration.hasResult(change.change())) {
			return Optional.empty();
		}
		List<WorkerSpec> workers = this.jobs.view().workers().stream().map(SchedulingView.WorkerView::worker).toList();
		if (workers.isEmpty()) {
			return Optional.empty();
		}
		return SmallestConflict.find(change.declarations().accounts(), new FleetPacker(workers));
	}

	private static EntryReply changeReply(ChangeResult result) {
		return switch (result) {
			case ChangeResult.Accepted accepted -> new EntryReply.ChangeAccepted(accepted.revision());
			case ChangeResult.Lost lost -> new EntryReply.ChangeLost(lost.winner(), lost.operator(), lost.revision());
			case ChangeResult.DifferentChange different -> new EntryReply.Failed(differentChange(different.change()));
		};
	}

	private static Problem differentChange(ChangeId change) {
		return new Problem(ProblemKind.CONFLICT, "Change " + change + " was sent before with other declarations.",
				"Choose a new change id for new declarations.");
	}

	private CompletableFuture<EntryReply> fetchDeclarations() {
		return this.log.confirmLeadership().thenApply((term) -> {
			if (term.isEmpty()) {
				return new EntryReply.NotLeading(this.log.leader());
			}
			AcceptedConfiguration inForce = this.configuration.latest();
			return new EntryReply.DeclarationsInForce(inForce.revision(),
					DeclarationsDecoder.decode(inForce.declarations()));
		});
	}

	private CompletableFuture<EntryReply> claim(EntryCommand.ClaimRequest claim) {
		byte[] command = ClaimCodec.claim(claim.request().id(), claim.request().account(), claim.bodyDigest(),
				claim.entry(), claim.attempt(), this.wallClock.instant().plus(claim.retention()));
		return propose(CommandKind.CLAIM, command, this::claimReply);
	}

	private EntryReply claimReply(byte[] result) {
		return switch (ClaimCodec.reply(result)) {
			case ClaimReply.Granted granted -> new EntryReply.ClaimGranted();
			case ClaimReply.AlreadyRunning running -> new EntryReply.ClaimHeld(running.holder(), running.attempt());
			case ClaimReply.Kept kept ->
				new EntryReply.ClaimAnswered(this.codec.decode(kept.answer().toByteArray(), KeptAnswer.class));
			case ClaimReply.DifferentRequest different -> new EntryReply.ClaimDiffers();
			case ClaimReply.Done done -> new EntryReply.Recorded();
			case ClaimReply.Expired expired -> new EntryReply.Recorded();
			case ClaimReply.NoSuchClaim missing ->
				new EntryReply.Failed(CommandProblems.notFound("claim", "of this request"));
			case ClaimReply.TooManyClaims tooMany -> new EntryReply.Failed(new Problem(ProblemKind.OVERLOADED,
					"Too many requests that may run at most once are remembered; this one was not run.",
					"Send it again later, or raise limits.remembered-answers."));
		};
	}

	private CompletableFuture<EntryReply> propose(CommandKind kind, byte[] command,
			Function<byte[], EntryReply> onCommitted) {
		return this.log.propose(kind.frame(command)).thenApply((proposal) -> switch (proposal) {
			case ProposalOutcome.Committed committed -> onCommitted.apply(committed.result());
			case ProposalOutcome.NotLeader notLeader -> new EntryReply.NotLeading(notLeader.leader());
			case ProposalOutcome.Refused refused -> new EntryReply.Failed(refused.problem());
			case ProposalOutcome.Unknown unknown -> new EntryReply.Failed(CommandProblems.outcomeUnknown());
		});
	}

	/**
	 * Proposes the removal of expired claims if this replica is the leader and there are
	 * claims.
	 */
	public void expireClaims() {
		if (this.log.leads() && this.claims.size() > 0) {
			propose(CommandKind.CLAIM, ClaimCodec.expire(this.wallClock.instant()), this::claimReply);
		}
	}

}
