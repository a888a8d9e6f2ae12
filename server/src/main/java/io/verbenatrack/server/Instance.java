package io.verbenatrack.server;

import java.net.URI;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.InstanceSettings;

/**
 * A running instance of the system.
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
	 * @throws Exception when an address or the data folder cannot be used
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
	 * Where the instance takes HTTP.
	 * @return its address with the port that it truly has
	 */
	public URI http() {
		return URI.create("http://" + this.settings.http().host() + ":" + this.listeners.httpPort());
	}

	/**
	 * Stops the service without cutting what is in flight, then closes everything.
	 * Returns after the balancer delay and the shutdown deadline at the latest.
	 */
	public void shutdown() {
		this.shutdown.run();
		close();
		this.shutdown.logStopped();
	}

	/**
	 * Closes everything at once.
	 */
	@Override
	public void close() {
		this.closer.close();
	}

}
