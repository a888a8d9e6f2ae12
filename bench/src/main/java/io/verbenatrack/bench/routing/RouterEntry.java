package io.verbenatrack.bench.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.AnswerSource;
import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.AttemptStep;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.ClaimResult;
import io.verbenatrack.routing.ExchangeId;
import io.verbenatrack.routing.LossCause;
import io.verbenatrack.routing.RequestRouter;
import io.verbenatrack.routing.RoutingDecision;
import io.verbenatrack.routing.RoutingEvent;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.SlotUse;
import io.verbenatrack.routing.VersionedTargetDirectory;

/**
 * Entry that routes with the {@link RequestRouter}, on a virtual clock.
 */
final class RouterEntry implements Entry {

	private static final long HOP_NANOS = VirtualTime.MILLI;

	private static final long CLAIM_NANOS = 4 * VirtualTime.MILLI;

	private static final long TICK_NANOS = 10 * VirtualTime.MILLI;

	private static final BodyDigest BODY = BodyDigest.of(new byte[0]);

	private final VirtualTime time;

	private final Map<TargetId, VirtualTarget> targets;

	private final VirtualCaller caller;

	private final Duration timeout;

	private final InstanceId self;

	private final VersionedTargetDirectory directory;

	private final RequestRouter router;

	private final Map<ExchangeId, Sent> open = new HashMap<>();

	private final Set<AttemptId> running = new HashSet<>();

	private long nextExchange;

	RouterEntry(VirtualTime time, Map<TargetId, VirtualTarget> targets, VirtualCaller caller, Duration timeout,
			InstanceId self, String zone, long seed) {
		this.time = time;
		this.targets = targets;
		this.caller = caller;
		this.timeout = timeout;
		this.self = self;
		this.directory = new VersionedTargetDirectory(self);
		this.router = new RequestRouter(self, new ZoneId(zone), this.directory, (account) -> 1,
				RoutingSettings.STANDARD, new SplittableRandom(seed));
		time.every(TICK_NANOS, () -> handle(new RoutingEvent.Ticked()));
	}

	VersionedTargetDirectory directory() {
		return this.directory;
	}

	void instances(List<InstanceId> all) {
		handle(new RoutingEvent.InstancesChanged(all));
	}

	List<SlotUse> slotUses() {
		return this.router.slotUses(this.time.now());
	}

	void hear(SlotUse use) {
		handle(new RoutingEvent.SlotUseReceived(use));
	}

	@Override
	public void accept(AccountId account, boolean idempotent) {
		this.caller.offered();
		ExchangeId id = new ExchangeId(this.nextExchange++);
		long deadline = this.time.now() + this.timeout.toNanos();
		this.open.put(id, new Sent(account, this.time.now(), deadline));
		RequestSpec spec = new RequestSpec(new RequestId(this.self + "-" + id.value()), VirtualTarget.SERVICE, account,
				idempotent, Instant.EPOCH);
		handle(new RoutingEvent.Accepted(id, spec, BODY, deadline, true, false));
	}

	private void handle(RoutingEvent event) {
		this.router.handle(event, this.time.now()).forEach(this::carryOut);
	}

	private void carryOut(RoutingDecision decision) {
		switch (decision) {
			case RoutingDecision.Claim claim -> this.time.in(CLAIM_NANOS,
					() -> handle(new RoutingEvent.ClaimCompleted(claim.exchange(), new ClaimResult.Granted())));
			case RoutingDecision.Release release ->
				this.time.in(CLAIM_NANOS, () -> handle(new RoutingEvent.ReleaseCompleted(release.exchange())));
			case RoutingDecision.KeepAnswer keep ->
				this.time.in(CLAIM_NANOS, () -> handle(new RoutingEvent.KeepAnswerCompleted(keep.exchange())));
			case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
			case RoutingDecision.Cancel cancel ->
				this.time.in(HOP_NANOS, () -> end(cancel.attempt(), new AttemptResult.Lost(LossCause.CANCELLED)));
			case RoutingDecision.Respond respond -> tell(this.open.remove(respond.exchange()), respond.outcome());
			case RoutingDecision.Refuse refuse -> this.open.remove(refuse.exchange());
			case RoutingDecision.Stream stream -> {
			}
			case RoutingDecision.DropConnections drop -> {
			}
			case RoutingDecision.Drained drained -> {
			}
		}
	}

	private void dispatch(RoutingDecision.Dispatch dispatch) {
		AttemptId attempt = dispatch.attempt();
		this.running.add(attempt);
		VirtualTarget target = this.targets.get(dispatch.target().id());
		this.time.in(HOP_NANOS, () -> {
			handle(new RoutingEvent.AttemptAdvanced(attempt, AttemptStep.HEAD_SENT));
			target.receive(() -> this.time.in(HOP_NANOS, () -> end(attempt, new AttemptResult.Answered())),
					() -> this.time.in(HOP_NANOS, () -> end(attempt, new AttemptResult.Lost(LossCause.RESET))));
		});
	}

	private void end(AttemptId attempt, AttemptResult result) {
		if (this.running.remove(attempt)) {
			handle(new RoutingEvent.AttemptEnded(attempt, result));
		}
	}

	private void tell(Sent sent, RequestOutcome<AnswerSource> outcome) {
		switch (outcome) {
			case RequestOutcome.Answered<AnswerSource> answered ->
				this.caller.answered(sent.account(), sent.sentNanos(), sent.deadlineNanos());
			case RequestOutcome.NotRun<AnswerSource> notRun -> this.caller.refused(sent.sentNanos());
			case RequestOutcome.Unknown<AnswerSource> unknown -> {
			}
		}
	}

	private record Sent(AccountId account, long sentNanos, long deadlineNanos) {

	}

}
