package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Counts and times the calls that another caller answers.
 */
public final class MeasuredCaller implements FleetCaller {

	private final FleetCaller answering;

	private final Metrics metrics;

	private final MonotonicClock clock;

	private final Map<Answered, Counter> counters = new ConcurrentHashMap<>();

	private final Map<String, Timer> timers = new ConcurrentHashMap<>();

	/**
	 * Measures a caller.
	 * @param answering answers the calls
	 * @param metrics takes the figures
	 * @param clock the monotonic clock
	 */
	public MeasuredCaller(FleetCaller answering, Metrics metrics, MonotonicClock clock) {
		this.answering = answering;
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration patience) {
		long arrived = this.clock.nanoTime();
		String kind = call.getClass().getSimpleName();
		return this.answering.call(call, patience).thenApply((reply) -> {
			counter(new Answered(kind, reply.getClass().getSimpleName())).increment();
			this.timers.computeIfAbsent(kind, (name) -> this.metrics.histogram(MetricName.FLEET_CALL_TIME, name))
				.record(this.clock.nanoTime() - arrived, TimeUnit.NANOSECONDS);
			return reply;
		});
	}

	private Counter counter(Answered answered) {
		return this.counters.computeIfAbsent(answered,
				(key) -> this.metrics.counter(MetricName.FLEET_CALLS, key.call(), key.reply()));
	}

	private record Answered(String call, String reply) {

	}

}
