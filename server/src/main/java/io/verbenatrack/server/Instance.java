package io.verbenatrack.server;

import java.net.URI;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.InstanceSettings;

/**
 * A running instance.
 */
public final class Instance implements AutoCloseable {

	private final InstanceSettings settings;

	private final Closer closer;

	private final Listeners listeners;

	private final GracefulShutdown shutdown;

	private Instance(InstanceSettings settings, Closer closer, Listeners listeners, GracefulShutdown shutdown) {
		this.shutdown = shutdown;
		this.settings = settings;
		this.closer = closer;
		this.listeners = listeners;
	}

	/**
	 * Starts an instance.
	 * @param settings its settings
	 * @return the running instance
	 * @throws Exception if an address or the data folder cannot be used
	 */
	public static Instance start(InstanceSettings settings) throws Exception {
		Closer closer = new Closer();
		try {
			InstanceComponent component = DaggerInstanceComponent.factory().create(settings, closer);
			component.listeners().open();
			return new Instance(settings, closer, component.listeners(), component.shutdown());
		}
		catch (Exception ex) {
			closer.close();
			throw ex;
		}
	}

	/**
	 * Returns the base URI of the HTTP listener.
	 * @return the configured host with the port that was bound
	 */
	public URI http() {
		return URI.create("http://" + this.settings.http().host() + ":" + this.listeners.httpPort());
	}

	/**
	 * Drains the requests in flight, then closes all resources. Draining takes at most
	 * the balancer delay plus the shutdown deadline and one second.
	 */
	public void shutdown() {
		this.shutdown.run();
		close();
		this.shutdown.logStopped();
	}

	/**
	 * Closes all resources immediately, without draining.
	 */
	@Override
	public void close() {
		this.closer.close();
	}

}
