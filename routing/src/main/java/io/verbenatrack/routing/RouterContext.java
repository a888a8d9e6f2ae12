package io.verbenatrack.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ServiceId;

/**
 * State that the components of the router share, and the decisions on the current event.
 */
final class RouterContext {

	private final RoutingSettings settings;

	private final TargetPool pool;

	private final AccountWeights weights;

	private final RandomGenerator random;

	private final RetryBudget budget;

	private final TimerQueue timers = new TimerQueue();

	private final Map<ExchangeId, Exchange> exchanges = new HashMap<>();

	private final Map<AttemptId, Attempt> attempts = new HashMap<>();

	private final Map<ServiceId, ServiceQueue> queues = new TreeMap<>();

	private final String attemptPrefix;

	private List<RoutingDecision> decisions = new ArrayList<>();

	private long nowNanos;

	private long attemptCounter;

	private boolean draining;

	RouterContext(String instance, RoutingSettings settings, TargetPool pool, AccountWeights weights,
			RandomGenerator random) {
		this.settings = settings;
		this.pool = pool;
		this.weights = weights;
		this.random = random;
		this.budget = new RetryBudget(settings.retryShare());
		// The random part keeps attempt ids unique across restarts of the instance.
		this.attemptPrefix = instance + "-" + HexFormat.of().toHexDigits(random.nextLong()) + "-";
	}

	void beginEvent(long eventNanos) {
		this.nowNanos = eventNanos;
		this.decisions = new ArrayList<>();
	}

	List<RoutingDecision> decisions() {
		return this.decisions;
	}

	void decide(RoutingDecision decision) {
		this.decisions.add(decision);
	}

	long nowNanos() {
		return this.nowNanos;
	}

	RoutingSettings settings() {
		return this.settings;
	}

	TargetPool pool() {
		return this.pool;
	}

	RandomGenerator random() {
		return this.random;
	}

	RetryBudget budget() {
		return this.budget;
	}

	TimerQueue timers() {
		return this.timers;
	}

	Map<ExchangeId, Exchange> exchanges() {
		return this.exchanges;
	}

	Map<AttemptId, Attempt> attempts() {
		return this.attempts;
	}

	Map<ServiceId, ServiceQueue> queues() {
		return this.queues;
	}

	ServiceQueue queue(Exchange exchange) {
		return this.queues.computeIfAbsent(exchange.request().service(), (id) -> new ServiceQueue(id, this.weights));
	}

	AttemptId nextAttempt() {
		return new AttemptId(this.attemptPrefix + this.attemptCounter++);
	}

	boolean draining() {
		return this.draining;
	}

	void beginDrain() {
		this.draining = true;
	}

}
