package io.verbenatrack.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in reverse order.
 */
public final class Closer implements AutoCloseable {

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Takes over a resource.
	 * @param <T> the type of the resource
	 * @param resource the resource
	 * @return the same resource
	 */
	public synchronized <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	/**
	 * Closes every resource, even when closing one fails.
	 * @throws IllegalStateException with all failures when at least one failed
	 */
	@Override
	public synchronized void close() {
		IllegalStateException failure = null;
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				failure = (failure != null) ? failure : new IllegalStateException("A resource did not close.");
				failure.addSuppressed(ex);
			}
		}
		if (failure != null) {
			throw failure;
		}
	}

}
