package io.verbenatrack.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;

/**
 * Simulates one request, and its resend, through routers on a virtual clock, and injects
 * faults at named steps.
 */
final class SimulatedRun {

	static final long SEED = 7;

	static final long MILLI_NANOS = 1_000_000;

	private static final long DEADLINE_NANOS = 1000 * MILLI_NANOS;

	private static final long SLOW_NANOS = 300 * MILLI_NANOS;

	private static final long END_NANOS = 30_000 * MILLI_NANOS;

	private static final BodyDigest BODY = BodyDigest.of(new byte[] { 1 });

	private final boolean idempotent;

	private final boolean large;

	private final Map<String, List<Fault>> faults = new HashMap<>();

	private final SimulatedTargets targets = new SimulatedTargets(3, 1);

	private final LocalClaimStore claims = new LocalClaimStore(new InstanceId("i"), () -> Instant.EPOCH,
			Duration.ofHours(1), 100);

	private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::sequence));

	private final List<String> outcomes = new ArrayList<>();

	private final Map<AttemptId, SimulatedDispatch> dispatches = new HashMap<>();

	private Instance instance;

	private long now;

	private long sequence;

	private int instances;

	private boolean callerListens;

	SimulatedRun(boolean idempotent, boolean large) {
		this.idempotent = idempotent;
		this.large = large;
	}

	void inject(String step, Fault fault) {
		this.faults.computeIfAbsent(step, (key) -> new ArrayList<>()).add(fault);
	}

	List<String> outcomes() {
		return this.outcomes;
	}

	List<SimulatedTargets.Run> runs() {
		return this.targets.runs();
	}

	int openExchanges() {
		return this.instance.crashed ? 0 : this.instance.router.openExchanges();
	}

	/**
	 * Sends the request. Sends it again without faults when the connection to the caller
	 * was cut, or when the outcome of a request that is not idempotent is unknown.
	 * @return this run, completed
	 */
	SimulatedRun run() {
		boolean cancelled = send();
		boolean resend = !cancelled && (this.outcomes.isEmpty() || this.outcomes.getLast().equals("cut")
				|| (!this.idempotent && this.outcomes.getLast().equals("unknown")));
		if (resend) {
			this.faults.clear();
			send();
		}
		return this;
	}

	private boolean send() {
		boolean cancels = this.faults.values().stream().anyMatch((all) -> all.contains(Fault.CANCELLATION));
		this.instance = new Instance(this.instances++);
		this.callerListens = true;
		int before = this.outcomes.size();
		RequestSpec spec = new RequestSpec(new RequestId("r-1"), SimulatedTargets.SERVICE, new AccountId("vans"),
				this.idempotent, Instant.EPOCH);
		this.instance
			.handle(new RoutingEvent.Accepted(new ExchangeId(0), spec, BODY, this.now + DEADLINE_NANOS, true, false));
		long end = this.now + END_NANOS;
		this.instance.scheduleTick();
		while (!this.scheduled.isEmpty() && this.scheduled.peek().at() <= end) {
			ScheduledAction action = this.scheduled.poll();
			this.now = Math.max(this.now, action.at());
			action.action().run();
			this.instance.scheduleTick();
		}
		if (this.outcomes.size() == before) {
			this.outcomes.add("cut");
		}
		return cancels && !this.callerListens;
	}

	private void schedule(long delay, Runnable action) {
		this.scheduled.add(new ScheduledAction(this.now + delay, this.sequence++, action));
	}

	private List<Fault> removeFaults(String step) {
		List<Fault> removed = this.faults.remove(step);
		return (removed != null) ? removed : List.of();
	}

	/**
	 * Removes the faults of a step and applies those that hit the instance or the caller.
	 * @param step the step
	 * @return the faults that hit the claim or dispatch in progress
	 */
	private List<Fault> applyFaults(String step) {
		List<Fault> rest = new ArrayList<>();
		for (Fault fault : removeFaults(step)) {
			switch (fault) {
				case OUR_DEATH -> this.instance.crash();
				case CALLER_GONE, CANCELLATION -> {
					this.callerListens = false;
					this.instance.handle(new RoutingEvent.CallerGone(new ExchangeId(0)));
				}
				case DRAIN -> this.instance.handle(new RoutingEvent.DrainBegan(this.now + END_NANOS));
				default -> rest.add(fault);
			}
		}
		return rest;
	}

	private record ScheduledAction(long at, long sequence, Runnable action) {

	}

	private final class Instance {

		private final RequestRouter router;

		private boolean crashed;

		private Instance(int number) {
			this.router = new RequestRouter(new InstanceId("i-" + number), SimulatedTargets.ZONE,
					SimulatedRun.this.targets, (account) -> 1, RoutingSettings.STANDARD,
					new SplittableRandom(SEED + number));
		}

		private void crash() {
			this.crashed = true;
			SimulatedRun.this.callerListens = false;
		}

		private void handle(RoutingEvent event) {
			if (!this.crashed) {
				this.router.handle(event, SimulatedRun.this.now).forEach(this::carryOut);
			}
		}

		private void scheduleTick() {
			this.router.nextWakeUpNanos().ifPresent((at) -> {
				if (!this.crashed
						&& (SimulatedRun.this.scheduled.isEmpty() || SimulatedRun.this.scheduled.peek().at() > at)) {
					schedule(Math.max(0, at - SimulatedRun.this.now), () -> handle(new RoutingEvent.Ticked()));
				}
			});
		}

		private void carryOut(RoutingDecision decision) {
			switch (decision) {
				case RoutingDecision.Claim claim -> claim(claim);
				case RoutingDecision.Release release -> {
					SimulatedRun.this.claims.release(release.request(), release.attempt()).join();
					schedule(MILLI_NANOS, () -> handle(new RoutingEvent.ReleaseCompleted(release.exchange())));
				}
				case RoutingDecision.KeepAnswer keep -> {
					SimulatedRun.this.claims.keepAnswer(keep.request(), keep.claimed(),
							new KeptAnswer(keep.answered(), keep.target(), "", new byte[0], true));
					schedule(MILLI_NANOS, () -> handle(new RoutingEvent.KeepAnswerCompleted(keep.exchange())));
				}
				case RoutingDecision.Dispatch dispatch -> new SimulatedDispatch(this, dispatch).begin();
				case RoutingDecision.Cancel cancel -> SimulatedRun.this.dispatches.get(cancel.attempt()).cancel();
				case RoutingDecision.Stream stream ->
					SimulatedRun.this.dispatches.get(stream.attempt()).streamed = true;
				case RoutingDecision.Respond respond -> recordOutcome(respond.outcome());
				case RoutingDecision.Refuse refuse -> SimulatedRun.this.outcomes.add("refused");
				case RoutingDecision.DropConnections drop -> {
				}
				case RoutingDecision.Drained drained -> {
				}
			}
		}

		private void claim(RoutingDecision.Claim claim) {
			ClaimResult result = SimulatedRun.this.claims.claim(claim.request(), claim.body(), claim.attempt()).join();
			long delay = MILLI_NANOS;
			boolean duplicated = false;
			for (Fault fault : applyFaults("accepted")) {
				switch (fault) {
					case SILENCE, LATE -> delay = DEADLINE_NANOS + SLOW_NANOS;
					case SLOWNESS -> delay = SLOW_NANOS;
					case DOUBLED -> duplicated = true;
					case CROSSED ->
						result = new ClaimResult.AlreadyRunning(new InstanceId("other"), new AttemptId("other"));
					case RESET, GARBAGE, WRONG_LENGTH ->
						result = new ClaimResult.Unknown(Outcomes.notDispatched("the claim broke"));
					default -> {
					}
				}
			}
			ClaimResult reportedResult = result;
			Runnable reply = () -> {
				applyFaults("claimed");
				handle(new RoutingEvent.ClaimCompleted(claim.exchange(), reportedResult));
			};
			schedule(delay, reply);
			if (duplicated) {
				schedule(delay, reply);
			}
		}

		private void recordOutcome(RequestOutcome<AnswerSource> outcome) {
			if (!SimulatedRun.this.callerListens) {
				return;
			}
			SimulatedRun.this.outcomes.add(switch (outcome) {
				case RequestOutcome.Answered<AnswerSource> answered -> "answered";
				case RequestOutcome.NotRun<AnswerSource> notRun -> "not-run";
				case RequestOutcome.Unknown<AnswerSource> unknown -> "unknown";
			});
			if (outcome instanceof RequestOutcome.Answered<AnswerSource>) {
				applyFaults("acknowledged");
			}
		}

	}

	private final class SimulatedDispatch {

		private static final List<String> STEPS = List.of("connecting", "head-sent", "body-half-sent", "sent",
				"answer-head", "answer-half", "answer-done");

		private static final int SENT = 3;

		private static final int ANSWER_HALF = 5;

		private static final int ANSWER_DONE = 6;

		private final Instance owner;

		private final RoutingDecision.Dispatch dispatch;

		private AttemptResult corrupted;

		private boolean silent;

		private boolean duplicated;

		private boolean ended;

		private boolean streamed;

		private int reached;

		private SimulatedDispatch(Instance owner, RoutingDecision.Dispatch dispatch) {
			this.owner = owner;
			this.dispatch = dispatch;
			SimulatedRun.this.dispatches.put(dispatch.attempt(), this);
		}

		private void begin() {
			// An idempotent request makes no claim, so its faults at the first two steps
			// are
			// applied here.
			List.of("accepted", "claimed", "queued").forEach(SimulatedRun.this::applyFaults);
			step(0);
		}

		private void step(int index) {
			boolean requestLost = this.owner.crashed && index <= SENT;
			if (this.ended || this.silent || requestLost) {
				return;
			}
			this.reached = index;
			String name = STEPS.get(index);
			if (index > 0 && index < ANSWER_DONE) {
				this.owner
					.handle(new RoutingEvent.AttemptAdvanced(this.dispatch.attempt(), AttemptStep.values()[index - 1]));
			}
			if (index == SENT) {
				SimulatedTargets targets = SimulatedRun.this.targets;
				targets.run(new RequestId("r-1"), this.dispatch.attempt());
			}
			long delay = MILLI_NANOS;
			for (Fault fault : applyFaults(name)) {
				delay = Math.max(delay, applyFault(fault, index));
			}
			int next = (index == ANSWER_HALF - 1 && !SimulatedRun.this.large) ? ANSWER_DONE : index + 1;
			if (index == ANSWER_DONE) {
				end((this.corrupted != null) ? this.corrupted : new AttemptResult.Answered());
			}
			else if (index != ANSWER_HALF || this.streamed) {
				schedule(delay, () -> step(next));
			}
		}

		private long applyFault(Fault fault, int index) {
			boolean done = index == ANSWER_DONE;
			switch (fault) {
				case TARGET_DEATH -> {
					SimulatedRun.this.targets.remove(this.dispatch.target().id());
					breakConnection(done, LossCause.RESET);
				}
				case RESET -> breakConnection(done, LossCause.RESET);
				case SILENCE -> this.silent = !done;
				case GARBAGE -> corrupt(done, LossCause.GARBAGE);
				case WRONG_LENGTH -> corrupt(done, LossCause.WRONG_LENGTH);
				case CROSSED -> corrupt(done, LossCause.FOREIGN);
				case DOUBLED -> this.duplicated = true;
				case SLOWNESS -> {
					return done ? 0 : SLOW_NANOS;
				}
				case LATE -> {
					return done ? 0 : DEADLINE_NANOS + SLOW_NANOS;
				}
				default -> {
				}
			}
			return 0;
		}

		private void breakConnection(boolean done, LossCause cause) {
			if (!done) {
				end((this.reached == 0) ? new AttemptResult.NotSent("the connection failed")
						: new AttemptResult.Lost(cause));
			}
		}

		private void corrupt(boolean done, LossCause cause) {
			this.corrupted = done ? this.corrupted : new AttemptResult.Lost(cause);
		}

		private void cancel() {
			AttemptResult result = (this.reached == 0) ? new AttemptResult.NotSent("it was cancelled")
					: new AttemptResult.Lost(LossCause.CANCELLED);
			this.silent = true;
			schedule(MILLI_NANOS, () -> end(result));
		}

		private void end(AttemptResult result) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.owner.handle(new RoutingEvent.AttemptEnded(this.dispatch.attempt(), result));
			if (this.duplicated) {
				this.owner.handle(new RoutingEvent.AttemptEnded(this.dispatch.attempt(), result));
			}
		}

	}

}
