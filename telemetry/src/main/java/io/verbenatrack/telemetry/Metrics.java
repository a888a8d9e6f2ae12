package io.verbenatrack.telemetry;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Registers the metrics of {@link MetricName} and writes them for Prometheus.
 *
 * <p>
 * Hot paths keep the counter or timer that they are given instead of asking again.
 */
public final class Metrics implements AutoCloseable {

	/** From a call that waits for nothing to one that waits out an election. */
	private static final Duration[] BUCKETS = Stream.of(5, 20, 50, 100, 200, 500, 1000, 2000, 5000)
		.map(Duration::ofMillis)
		.toArray(Duration[]::new);

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Registers a counter.
	 * @param name the metric
	 * @param labelValues a value for each of its labels
	 * @return the counter; the same one for the same values
	 */
	public Counter counter(MetricName name, String... labelValues) {
		return Counter.builder(name.meterName())
			.baseUnit(unit(name))
			.description(name.description())
			.tags(tags(name, MetricName.Type.COUNTER, labelValues))
			.register(this.registry);
	}

	/**
	 * Registers a timer.
	 * @param name the metric
	 * @param labelValues a value for each of its labels
	 * @return the timer; the same one for the same values
	 */
	public Timer timer(MetricName name, String... labelValues) {
		return Timer.builder(name.meterName())
			.description(name.description())
			.tags(tags(name, MetricName.Type.TIMER, labelValues))
			.register(this.registry);
	}

	/**
	 * Registers a timer that also counts durations by buckets.
	 * @param name the metric
	 * @param labelValues a value for each of its labels
	 * @return the timer; the same one for the same values
	 */
	public Timer histogram(MetricName name, String... labelValues) {
		return Timer.builder(name.meterName())
			.description(name.description())
			.serviceLevelObjectives(BUCKETS)
			.tags(tags(name, MetricName.Type.HISTOGRAM, labelValues))
			.register(this.registry);
	}

	/**
	 * Registers a gauge.
	 * @param name the metric
	 * @param value reads the value now; called by the thread that serves /metrics
	 * @param labelValues a value for each of its labels
	 */
	public void gauge(MetricName name, DoubleSupplier value, String... labelValues) {
		Gauge.builder(name.meterName(), value::getAsDouble)
			.baseUnit(unit(name))
			.description(name.description())
			.tags(tags(name, MetricName.Type.GAUGE, labelValues))
			.strongReference(true)
			.register(this.registry);
	}

	/**
	 * Writes all metrics.
	 * @return the text format of Prometheus, version 0.0.4
	 */
	public String scrape() {
		return this.registry.scrape();
	}

	@Override
	public void close() {
		this.registry.close();
	}

	private static String unit(MetricName name) {
		return name.unit().isEmpty() ? null : name.unit();
	}

	private static Tags tags(MetricName name, MetricName.Type type, String... labelValues) {
		if (name.type() != type || labelValues.length != name.labels().size()) {
			throw new IllegalArgumentException("The metric " + name + " is a " + name.type() + " with the labels "
					+ name.labels() + ". Register it so.");
		}
		Tags tags = Tags.empty();
		for (int i = 0; i < labelValues.length; i++) {
			tags = tags.and(Tag.of(name.labels().get(i), labelValues[i]));
		}
		return tags;
	}

}
