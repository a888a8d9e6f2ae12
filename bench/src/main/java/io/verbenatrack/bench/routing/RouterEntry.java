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
final class RouterEntry implements SimulatedEntry {

	private static final long LINK_NANOS = VirtualClock.NANOS_PER_MILLI;

	private static final long CLAIM_LATENCY_NANOS = 4 * VirtualClock.NANOS_PER_MILLI;

	private static final long TICK_INTERVAL_NANOS = 10 * VirtualClock.NANOS_PER_MILLI;

	private static final BodyDigest BODY = BodyDigest.of(new byte[0]);

	private final VirtualClock clock;

	private final Map<TargetId, SimulatedTarget> targets;

	private final CallerStatistics caller;

	private final Duration timeout;

	private final InstanceId self;

	private final VersionedTargetDirectory directory;

	private final RequestRouter router;

	private final Map<ExchangeId, PendingRequest> pending = new HashMap<>();

	private final Set<AttemptId> running = new HashSet<>();

	private long nextExchange;

	RouterEntry(VirtualClock clock, Map<TargetId, SimulatedTarget> targets, CallerStatistics caller, Duration timeout,
			InstanceId self, String zone, long seed) {
		this.clock = clock;
		this.targets = targets;
		this.caller = caller;
		this.timeout = timeout;
		this.self = self;
		this.directory = new VersionedTargetDirectory(self);
		this.router = new RequestRouter(self, new ZoneId(zone), this.directory, (account) -> 1,
				RoutingSettings.STANDARD, new SplittableRandom(seed));
		clock.scheduleRepeatedly(TICK_INTERVAL_NANOS, () -> handle(new RoutingEvent.Ticked()));
	}

	VersionedTargetDirectory directory() {
		return this.directory;
	}

	void instances(List<InstanceId> all) {
		handle(new RoutingEvent.InstancesChanged(all));
	}

	List<SlotUse> slotUses() {
		return this.router.slotUses(this.clock.now());
	}

	void receiveSlotUse(SlotUse use) {
		handle(new RoutingEvent.SlotUseReceived(use));
	}

	@Override
	public void accept(AccountId account, boolean idempotent) {
		this.caller.offered();
		ExchangeId id = new ExchangeId(this.nextExchange++);
		long deadline = this.clock.now() + this.timeout.toNanos();
		this.pending.put(id, new PendingRequest(account, this.clock.now(), deadline));
		RequestSpec spec = new RequestSpec(new RequestId(this.self + "-" + id.value()), SimulatedTarget.SERVICE,
				account, idempotent, Instant.EPOCH);
		handle(new RoutingEvent.Accepted(id, spec, BODY, deadline, true, false));
	}

	private void handle(RoutingEvent event) {
		this.router.handle(event, this.clock.now()).forEach(this::execute);
	}

	private void execute(RoutingDecision decision) {
		switch (decision) {
			case RoutingDecision.Claim claim -> this.clock.schedule(CLAIM_LATENCY_NANOS,
					() -> handle(new RoutingEvent.ClaimCompleted(claim.exchange(), new ClaimResult.Granted())));
			case RoutingDecision.Release release -> this.clock.schedule(CLAIM_LATENCY_NANOS,
					() -> handle(new RoutingEvent.ReleaseCompleted(release.exchange())));
			case RoutingDecision.KeepAnswer keep -> this.clock.schedule(CLAIM_LATENCY_NANOS,
					() -> handle(new RoutingEvent.KeepAnswerCompleted(keep.exchange())));
			case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
			case RoutingDecision.Cancel cancel -> this.clock.schedule(LINK_NANOS,
					() -> end(cancel.attempt(), new AttemptResult.Lost(LossCause.CANCELLED)));
			case RoutingDecision.Respond respond ->
				recordOutcome(this.pending.remove(respond.exchange()), respond.outcome());
			case RoutingDecision.Refuse refuse -> this.pending.remove(refuse.exchange());
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
		SimulatedTarget target = this.targets.get(dispatch.target().id());
		this.clock.schedule(LINK_NANOS, () -> {
			handle(new RoutingEvent.AttemptAdvanced(attempt, AttemptStep.HEAD_SENT));
			target.receive(() -> this.clock.schedule(LINK_NANOS, () -> end(attempt, new AttemptResult.Answered())),
					() -> this.clock.schedule(LINK_NANOS, () -> end(attempt, new AttemptResult.Lost(LossCause.RESET))));
		});
	}

	private void end(AttemptId attempt, AttemptResult result) {
		if (this.running.remove(attempt)) {
			handle(new RoutingEvent.AttemptEnded(attempt, result));
		}
	}

	private void recordOutcome(PendingRequest request, RequestOutcome<AnswerSource> outcome) {
		switch (outcome) {
			case RequestOutcome.Answered<AnswerSource> answered ->
				this.caller.answered(request.account(), request.sentNanos(), request.deadlineNanos());
			case RequestOutcome.NotRun<AnswerSource> notRun -> this.caller.refused(request.sentNanos());
			case RequestOutcome.Unknown<AnswerSource> unknown -> {
			}
		}
	}

	private record PendingRequest(AccountId account, long sentNanos, long deadlineNanos) {

	}

}
