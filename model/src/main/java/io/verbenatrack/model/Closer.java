package io.verbenatrack.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration.
 */
public final class Closer implements AutoCloseable {

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource to be closed with this object.
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
	 * @throws IllegalStateException if at least one resource failed to close; all
	 * failures are attached as suppressed exceptions
	 */
	@Override
	public synchronized void close() {
		IllegalStateException failure = null;
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				failure = (failure != null) ? failure
						: new IllegalStateException("At least one resource failed to close.");
				failure.addSuppressed(ex);
			}
		}
		if (failure != null) {
			throw failure;
		}
	}

}
