package io.verbenatrack.bench.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.verbenatrack.bench.control.ClaimModel.Action;
import io.verbenatrack.bench.control.LinearizabilityChecker.Operation;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.state.claims.ClaimCodec;
import io.verbenatrack.state.claims.ClaimReply;

/**
 * Simulated entries that contend for claims on a few requests. They store an answer or
 * release the claim, and resend commands whose outcome is unknown.
 */
final class ClaimWorkload {

	private static final AccountId ACCOUNT = new AccountId("vans");

	private static final InstanceId ENTRY = new InstanceId("entry");

	private static final Duration ANSWER_RETENTION = Duration.ofDays(1);

	private static final long UNKNOWN_PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

	private static final double RELEASE_PROBABILITY = 0.5;

	private final List<List<Operation<ClaimModel.Input, ClaimModel.Output>>> histories = new ArrayList<>();

	private final SimulatedCluster cluster;

	private final long meanPauseNanos;

	private int attemptCount;

	private long endNanos;

	ClaimWorkload(SimulatedCluster cluster, Duration meanPause, int requests) {
		this.cluster = cluster;
		this.meanPauseNanos = meanPause.toNanos();
		for (int i = 0; i < requests; i++) {
			this.histories.add(new ArrayList<>());
		}
	}

	void start(int entries, long untilNanos, SplittableRandom random) {
		this.endNanos = untilNanos;
		for (int i = 0; i < entries; i++) {
			scheduleNext(new ReplicaClient(this.cluster, random.split()));
		}
	}

	private void scheduleNext(ReplicaClient client) {
		client.clock().schedule(this.meanPauseNanos / 2 + client.random().nextLong(this.meanPauseNanos), () -> {
			if (client.clock().nowNanos() <= this.endNanos) {
				this.attemptCount++;
				send(client, client.random().nextInt(this.histories.size()), Action.CLAIM, "a" + this.attemptCount);
			}
		});
	}

	private void send(ReplicaClient client, int request, Action action, String attempt) {
		List<Operation<ClaimModel.Input, ClaimModel.Output>> history = this.histories.get(request);
		if (client.clock().nowNanos() > this.endNanos
				|| history.size() + 4 >= LinearizabilityChecker.MAXIMUM_OPERATIONS) {
			return;
		}
		long invoked = client.clock().nowNanos();
		ClaimModel.Input input = new ClaimModel.Input(action, attempt);
		client.propose(SimulatedStateMachine.claimCommand(command(request, action, attempt, client)), (outcome) -> {
			if (outcome.isPresent() && outcome.get() instanceof ProposalOutcome.Committed committed) {
				ClaimModel.Output output = output(ClaimCodec.reply(committed.result()));
				history.add(new Operation<>(input, invoked, client.clock().nowNanos(), Optional.of(output)));
				continueAfter(client, request, input, output);
				return;
			}
			boolean notAppended = outcome.isPresent() && outcome.get() instanceof ProposalOutcome.NotLeader;
			if (!notAppended) {
				history.add(new Operation<>(input, invoked, Long.MAX_VALUE, Optional.empty()));
			}
			client.selectReplica(outcome);
			long pause = notAppended ? this.meanPauseNanos : UNKNOWN_PAUSE_NANOS;
			client.clock().schedule(pause, () -> send(client, request, action, attempt));
		});
	}

	private void continueAfter(ReplicaClient client, int request, ClaimModel.Input input, ClaimModel.Output output) {
		if (input.action() == Action.CLAIM && output.kind().equals("granted")) {
			Action next = (client.random().nextDouble() < RELEASE_PROBABILITY) ? Action.RELEASE : Action.KEEP;
			client.clock().schedule(this.meanPauseNanos, () -> send(client, request, next, input.attempt()));
			return;
		}
		scheduleNext(client);
	}

	private static byte[] command(int request, Action action, String attempt, ReplicaClient client) {
		RequestId id = new RequestId("q" + request);
		AttemptId attemptId = new AttemptId(attempt);
		return switch (action) {
			case CLAIM -> ClaimCodec.claim(id, ACCOUNT, "digest", ENTRY, attemptId,
					client.currentReplica().clocks().wallClock().plus(ANSWER_RETENTION));
			case KEEP -> ClaimCodec.keepAnswer(id, ACCOUNT, attemptId, attempt.getBytes(StandardCharsets.UTF_8));
			case RELEASE -> ClaimCodec.release(id, ACCOUNT, attemptId);
		};
	}

	private static ClaimModel.Output output(ClaimReply reply) {
		return switch (reply) {
			case ClaimReply.Granted granted -> new ClaimModel.Output("granted", "");
			case ClaimReply.AlreadyRunning running -> new ClaimModel.Output("running", running.attempt().value());
			case ClaimReply.Kept kept -> new ClaimModel.Output("kept", kept.answer().toStringUtf8());
			case ClaimReply.Done done -> new ClaimModel.Output("done", "");
			case ClaimReply.NoSuchClaim none -> new ClaimModel.Output("none", "");
			case ClaimReply.DifferentRequest different -> new ClaimModel.Output("different", "");
			case ClaimReply.TooManyClaims tooMany -> new ClaimModel.Output("many", "");
			case ClaimReply.Expired expired -> new ClaimModel.Output("expired", "");
		};
	}

	List<List<Operation<ClaimModel.Input, ClaimModel.Output>>> histories() {
		return this.histories;
	}

}
