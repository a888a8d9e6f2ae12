package io.verbenatrack.server;

import java.util.List;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Starts the background services, then opens the HTTP listener of an instance.
 */
final class Listeners {

	private static final int HTTP_THREADS = 16;

	private final InstanceSettings settings;

	private final List<Handler> handlers;

	private final Closer closer;

	private final BackgroundServices backgroundServices;

	private final Readiness readiness;

	private final EventLog events;

	private ServerConnector connector;

	Listeners(InstanceSettings settings, List<Handler> handlers, Closer closer, BackgroundServices backgroundServices,
			Readiness readiness, EventLog events) {
		this.events = events;
		this.settings = settings;
		this.handlers = handlers;
		this.closer = closer;
		this.backgroundServices = backgroundServices;
		this.readiness = readiness;
	}

	/**
	 * Starts the background services, opens the HTTP listener and reports readiness.
	 * @throws Exception if an address cannot be used
	 */
	void open() throws Exception {
		this.backgroundServices.start();
		QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
		threads.setName("http");
		Server server = new Server(threads);
		this.connector = new ServerConnector(server, 1, 1);
		this.connector.setHost(this.settings.http().host());
		this.connector.setPort(this.settings.http().port());
		this.connector.setIdleTimeout(this.settings.timeouts().httpIdle().toMillis());
		server.addConnector(this.connector);
		server.setHandler(new Handler.Sequence(this.handlers));
		this.closer.register(server::stop);
		server.start();
		this.readiness.ready();
		this.events.write(LogEvent.INSTANCE_READY, new EventLog.Field("instance", this.settings.instance()),
				new EventLog.Field("http", this.connector.getLocalPort()));
	}

	int httpPort() {
		return this.connector.getLocalPort();
	}

}
