package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Counts the calls of another client and measures their duration.
 */
public final class MeteredFleetClient implements FleetClient {

	private final FleetClient delegate;

	private final Metrics metrics;

	private final MonotonicClock clock;

	private final Map<CounterKey, Counter> counters = new ConcurrentHashMap<>();

	private final Map<String, Timer> timers = new ConcurrentHashMap<>();

	private final AtomicInteger open = new AtomicInteger();

	/**
	 * Creates a client that delegates to another one.
	 * @param delegate sends the calls
	 * @param metrics the metrics registry
	 * @param clock the monotonic clock
	 */
	public MeteredFleetClient(FleetClient delegate, Metrics metrics, MonotonicClock clock) {
		this.delegate = delegate;
		this.metrics = metrics;
		this.clock = clock;
		metrics.gauge(MetricName.FLEET_CALLS_OPEN, this.open::get);
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration timeout) {
		long startedNanos = this.clock.nanoTime();
		String kind = call.getClass().getSimpleName();
		this.open.incrementAndGet();
		return this.delegate.call(call, timeout).thenApply((reply) -> {
			this.open.decrementAndGet();
			counter(new CounterKey(kind, reply.getClass().getSimpleName())).increment();
			this.timers.computeIfAbsent(kind, (name) -> this.metrics.histogram(MetricName.FLEET_CALL_TIME, name))
				.record(this.clock.nanoTime() - startedNanos, TimeUnit.NANOSECONDS);
			return reply;
		});
	}

	private Counter counter(CounterKey key) {
		return this.counters.computeIfAbsent(key,
				(counted) -> this.metrics.counter(MetricName.FLEET_CALLS, counted.call(), counted.reply()));
	}

	private record CounterKey(String call, String reply) {

	}

}
