package io.verbenatrack.server;

import java.util.Optional;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import io.verbenatrack.model.Closer;
import io.verbenatrack.server.http.ApiHandler;
import io.verbenatrack.server.leader.LeaderDuty;
import io.verbenatrack.settings.InstanceSettings;

/**
 * Opens and closes what an instance listens on.
 */
final class Listeners {

	private static final int HTTP_THREADS = 16;

	private final InstanceSettings settings;

	private final ApiHandler api;

	private final Optional<LeaderDuty> duty;

	private final HttpClient client;

	private final Readiness readiness;

	private final Closer closer;

	private ServerConnector connector;

	Listeners(InstanceSettings settings, ApiHandler api, Optional<LeaderDuty> duty, HttpClient client,
			Readiness readiness, Closer closer) {
		this.settings = settings;
		this.api = api;
		this.duty = duty;
		this.client = client;
		this.readiness = readiness;
		this.closer = closer;
	}

	/**
	 * Starts everything.
	 * @throws Exception when an address cannot be used
	 */
	void open() throws Exception {
		this.client.start();
		this.duty.ifPresent(LeaderDuty::start);
		QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
		threads.setName("http");
		Server server = new Server(threads);
		this.connector = new ServerConnector(server, 1, 1);
		this.connector.setHost(this.settings.http().host());
		this.connector.setPort(this.settings.http().port());
		this.connector.setIdleTimeout(this.settings.timeouts().httpIdle().toMillis());
		server.addConnector(this.connector);
		server.setHandler(new Handler.Sequence(this.api));
		this.closer.register(server::stop);
		server.start();
		this.readiness.ready();
	}

	int httpPort() {
		return this.connector.getLocalPort();
	}

}
