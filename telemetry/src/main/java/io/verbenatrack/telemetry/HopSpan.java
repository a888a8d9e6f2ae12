package io.verbenatrack.telemetry;

import java.util.Optional;

/**
 * The span of a hop in progress.
 */
public interface HopSpan extends AutoCloseable {

	/**
	 * Returns the trace context to propagate with outgoing calls.
	 * @return the value of the {@value Tracing#TRACEPARENT} header, or empty if there is
	 * no context
	 */
	Optional<String> context();

	/**
	 * Adds an attribute.
	 * @param key the key of the attribute
	 * @param value the value of the attribute
	 * @return this span
	 */
	HopSpan setAttribute(String key, String value);

	/**
	 * Marks the hop as failed.
	 * @param description a description of the error
	 */
	void fail(String description);

	@Override
	void close();

}
