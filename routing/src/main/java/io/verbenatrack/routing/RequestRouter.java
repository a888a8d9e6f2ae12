package io.verbenatrack.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ZoneId;

/**
 * Routes requests as a deterministic state machine: it takes events with their times and
 * returns decisions.
 * <p>
 * It starts no threads, reads no clock and does no input or output, so that the same
 * events and random seed always produce the same decisions. Not thread-safe; a single
 * thread must call it.
 */
public final class RequestRouter {

	private static final long DETECTION_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

	private final RouterContext context;

	private final ExchangeCompleter completer;

	private final AdmissionControl admission;

	private final Dispatcher dispatcher;

	private long detectedAtNanos = Long.MIN_VALUE;

	private long hardDeadlineNanos = Long.MAX_VALUE;

	private boolean drained;

	/**
	 * Creates a router without requests.
	 * @param self the instance that the router runs on
	 * @param zone the availability zone of the instance
	 * @param directory the known targets
	 * @param weights the scheduling weights of client accounts
	 * @param settings the limits
	 * @param random the random number generator; it also supplies the part of the attempt
	 * ids that distinguishes this start of the instance from earlier ones
	 */
	public RequestRouter(InstanceId self, ZoneId zone, TargetDirectory directory, AccountWeights weights,
			RoutingSettings settings, RandomGenerator random) {
		TargetPool pool = new TargetPool(self, zone, directory, settings, random);
		this.context = new RouterContext(self.value(), settings, pool, weights, random);
		this.completer = new ExchangeCompleter(this.context);
		this.admission = new AdmissionControl(this.context, this.completer);
		this.dispatcher = new Dispatcher(this.context, this.completer, this.admission);
	}

	/**
	 * Processes an event and all timers that are due.
	 * @param event the event
	 * @param nowNanos the monotonic time in nanoseconds, not before that of the previous
	 * call
	 * @return the decisions, in the order in which they must be carried out
	 */
	public List<RoutingDecision> handle(RoutingEvent event, long nowNanos) {
		this.context.start(nowNanos);
		take(event);
		fireTimers();
		detectOutliers();
		this.dispatcher.pump();
		endDrain();
		return this.context.decisions();
	}

	/**
	 * Returns when {@link RoutingEvent.Ticked} must be passed in at the latest.
	 * @return the monotonic time in nanoseconds, or empty when no timer is set
	 */
	public OptionalLong nextWakeUpNanos() {
		return this.context.timers().next();
	}

	/**
	 * Returns the number of open exchanges, including those that were answered but have
	 * dispatches or claim store calls in progress.
	 * @return the number of exchanges
	 */
	public int open() {
		return this.context.exchanges().size();
	}

	/**
	 * Returns the number of requests that wait for a slot.
	 * @return the number over all services
	 */
	public int queued() {
		return this.context.queues().values().stream().mapToInt(ServiceQueue::size).sum();
	}

	/**
	 * Returns the number of targets that are ejected as outliers.
	 * @return the number over all services
	 */
	public int setAside() {
		return (int) this.context.pool().states().stream().filter(TargetState::isSetAside).count();
	}

	/**
	 * Updates the slot loans and returns the slot use to send to the other instances.
	 * Must be called every 250 ms.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the slot use of each target, without targets that have nothing to report
	 */
	public List<SlotUse> slotUses(long nowNanos) {
		List<SlotUse> uses = new ArrayList<>();
		for (ServiceQueue queue : this.context.queues().values()) {
			List<TargetPool.Candidate> eligible = this.context.pool().eligible(queue.service(), nowNanos);
			int wanted = Math.ceilDiv(queue.size(), Math.max(1, eligible.size()));
			for (TargetPool.Candidate candidate : eligible) {
				this.context.pool()
					.slotAllocator()
					.report(candidate.view().spec(), candidate.state().inFlight(), wanted, nowNanos)
					.ifPresent(uses::add);
			}
		}
		return uses;
	}

	private void take(RoutingEvent event) {
		switch (event) {
			case RoutingEvent.Accepted accepted -> this.admission.accept(accepted);
			case RoutingEvent.ClaimCompleted settled -> exchange(settled.exchange())
				.ifPresent((exchange) -> this.admission.claimSettled(exchange, settled.result()));
			case RoutingEvent.ReleaseCompleted settled ->
				exchange(settled.exchange()).ifPresent(this.completer::storeStepSettled);
			case RoutingEvent.KeepAnswerCompleted settled ->
				exchange(settled.exchange()).ifPresent(this.completer::storeStepSettled);
			case RoutingEvent.AttemptAdvanced advanced ->
				Optional.ofNullable(this.context.attempts().get(advanced.attempt()))
					.ifPresent((attempt) -> this.dispatcher.advanced(attempt, advanced.step()));
			case RoutingEvent.AttemptEnded ended -> Optional.ofNullable(this.context.attempts().get(ended.attempt()))
				.ifPresent((attempt) -> this.dispatcher.ended(attempt, ended.result()));
			case RoutingEvent.CallerGone gone -> exchange(gone.exchange()).ifPresent(this::callerGone);
			case RoutingEvent.InstancesChanged changed ->
				this.context.pool().slotAllocator().share(changed.instances());
			case RoutingEvent.SlotUseReceived heard ->
				this.context.pool().slotAllocator().hear(heard.use(), this.context.now());
			case RoutingEvent.DrainBegan began -> beginDrain(began.hardDeadlineNanos());
			case RoutingEvent.Ticked ticked -> {
			}
		}
	}

	private Optional<Exchange> exchange(ExchangeId id) {
		return Optional.ofNullable(this.context.exchanges().get(id));
	}

	private void fireTimers() {
		Optional<Timers.Timer> due = this.context.timers().pollDue(this.context.now());
		while (due.isPresent()) {
			Timers.Kind kind = due.get().kind();
			exchange(due.get().exchange()).ifPresent((exchange) -> fire(kind, exchange));
			due = this.context.timers().pollDue(this.context.now());
		}
	}

	private void fire(Timers.Kind kind, Exchange exchange) {
		switch (kind) {
			case DEADLINE -> endWait(exchange, "Its deadline passed.");
			case CANCEL_GRACE -> cancelUnconfirmed(exchange);
			case RECHECK -> this.admission.recheck(exchange);
			case RESUME -> this.dispatcher.resume(exchange);
			case HEDGE -> this.dispatcher.hedge(exchange);
			case ABANDON -> this.dispatcher.cancelAll(exchange);
		}
	}

	private void cancelUnconfirmed(Exchange exchange) {
		if (exchange.is("cancelling")) {
			this.completer.tell(exchange, Outcomes.unknown(exchange, "Its deadline passed while it was dispatched."));
		}
	}

	private void endWait(Exchange exchange, String finding) {
		switch (exchange.state()) {
			case "claiming" -> endClaim(exchange, finding);
			case "waiting" -> this.completer.tell(exchange,
					Outcomes.unknown(exchange, "Another send of it holds the claim and has no answer yet."));
			case "queued", "backing-off" -> this.admission.giveUp(exchange, "no slot was free before its deadline");
			case "dispatched", "streaming" -> this.dispatcher.stopWaiting(exchange, finding);
			case "keeping", "releasing" -> this.completer.tell(exchange, exchange.pending());
			default -> {
			}
		}
	}

	private void endClaim(Exchange exchange, String finding) {
		boolean first = exchange.isKnownFirst();
		this.completer.tell(exchange, first ? Outcomes.notRun(Outcomes.notDispatched("its claim took too long"))
				: Outcomes.unknown(exchange, finding + " An earlier send may have run."));
	}

	private void callerGone(Exchange exchange) {
		exchange.markCallerGone();
		switch (exchange.state()) {
			case "queued", "backing-off" -> this.admission.giveUp(exchange, "the caller left");
			case "waiting" -> endWait(exchange, "The caller left.");
			case "dispatched", "streaming" -> leaveRunning(exchange);
			default -> {
			}
		}
	}

	// A request that is not idempotent runs on, so that its answer can be stored for a
	// resend.
	private void leaveRunning(Exchange exchange) {
		if (exchange.idempotent() || exchange.is("streaming")) {
			this.dispatcher.stopWaiting(exchange, "The caller left.");
		}
	}

	private void detectOutliers() {
		if (this.context.now() - this.detectedAtNanos < DETECTION_INTERVAL_NANOS
				&& this.detectedAtNanos != Long.MIN_VALUE) {
			return;
		}
		this.detectedAtNanos = this.context.now();
		this.context.queues()
			.keySet()
			.forEach((service) -> this.context.pool().detectOutliers(service, this.context.now()));
		this.context.pool().forgetIdle(this.context.now());
	}

	private void beginDrain(long hardDeadline) {
		this.context.beginDrain();
		this.hardDeadlineNanos = hardDeadline;
	}

	private void endDrain() {
		if (!this.context.draining() || this.drained) {
			return;
		}
		boolean cut = this.context.now() >= this.hardDeadlineNanos;
		if (cut) {
			List.copyOf(this.context.exchanges().values()).forEach(this::cut);
		}
		if (cut || this.context.exchanges().isEmpty()) {
			this.drained = true;
			this.context.decide(new RoutingDecision.Drained());
		}
	}

	private void cut(Exchange exchange) {
		endWait(exchange, "This instance shut down while it ran.");
		this.dispatcher.cancelAll(exchange);
		if (exchange.is("cancelling")) {
			cancelUnconfirmed(exchange);
		}
	}

}
