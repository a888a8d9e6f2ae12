package io.verbenatrack.telemetry;

import java.util.Optional;

/**
 * One hop in progress.
 */
public interface HopSpan extends AutoCloseable {

	/**
	 * The context to send along with further calls.
	 * @return the value of the {@value Tracing#TRACEPARENT} header, if there is one
	 */
	Optional<String> context();

	/**
	 * Adds an attribute.
	 * @param key its key
	 * @param value its value
	 * @return this span
	 */
	HopSpan with(String key, String value);

	/**
	 * Marks the hop as failed.
	 * @param description what went wrong
	 */
	void fail(String description);

	@Override
	void close();

}
