package io.verbenatrack.telemetry;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Registers the metrics of {@link MetricName} and exposes them to Prometheus.
 *
 * <p>
 * Code on a hot path should keep the counter or timer that is returned rather than look
 * it up for each use.
 */
public final class Metrics implements AutoCloseable {

	/** Bounds from a call that does not wait up to one that waits for an election. */
	private static final Duration[] BUCKET_BOUNDS = Stream.of(5, 20, 50, 100, 200, 500, 1000, 2000, 5000)
		.map(Duration::ofMillis)
		.toArray(Duration[]::new);

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Registers a counter.
	 * @param name the metric
	 * @param labelValues a value for each of its labels
	 * @return the counter, which is the same for the same label values
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
	 * @return the timer, which is the same for the same label values
	 */
	public Timer timer(MetricName name, String... labelValues) {
		return Timer.builder(name.meterName())
			.description(name.description())
			.tags(tags(name, MetricName.Type.TIMER, labelValues))
			.register(this.registry);
	}

	/**
	 * Registers a timer that also counts durations in buckets.
	 * @param name the metric
	 * @param labelValues a value for each of its labels
	 * @return the timer, which is the same for the same label values
	 */
	public Timer histogram(MetricName name, String... labelValues) {
		return Timer.builder(name.meterName())
			.description(name.description())
			.serviceLevelObjectives(BUCKET_BOUNDS)
			.tags(tags(name, MetricName.Type.HISTOGRAM, labelValues))
			.register(this.registry);
	}

	/**
	 * Registers a gauge.
	 * @param name the metric
	 * @param value returns the current value; called on the thread that serves /metrics
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
	 * Registers a gauge whose label values change over time.
	 * @param name the metric, which has one label
	 * @return sets the current values by label value, and removes those of label values
	 * that are no longer given
	 */
	public Consumer<Map<String, Double>> gaugeByLabel(MetricName name) {
		MultiGauge gauges = MultiGauge.builder(name.meterName())
			.baseUnit(unit(name))
			.description(name.description())
			.register(this.registry);
		return (values) -> gauges.register(values.entrySet()
			.stream()
			.map((entry) -> MultiGauge.Row.of(tags(name, MetricName.Type.GAUGE, entry.getKey()), entry.getValue()))
			.toList(), true);
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the values in the Prometheus text format, version 0.0.4
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
