package io.verbenatrack.server.routing;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.Executor;

import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;

/**
 * Creates the HTTP client for targets.
 */
public final class TargetClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration IDLE_TIMEOUT = Duration.ofHours(1);

	private static final int KEEPALIVE_IDLE_SECONDS = 2;

	private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 3;

	private TargetClient() {
	}

	/**
	 * Creates a client without starting it.
	 * @param executor runs the callbacks, null to let the client create its own threads
	 * @return the client
	 */
	public static HttpClient create(Executor executor) {
		ClientConnector connector = new KeepaliveConnector();
		connector.setSelectors(1);
		connector.setConnectTimeout(CONNECT_TIMEOUT);
		connector.setIdleTimeout(IDLE_TIMEOUT);
		if (executor != null) {
			connector.setExecutor(executor);
		}
		HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
		client.setFollowRedirects(false);
		client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
		client.setHttpCookieStore(new HttpCookieStore.Empty());
		return client;
	}

	/**
	 * Enables TCP keepalive, so that the kernel detects a lost network path on a
	 * connection that waits for an answer.
	 */
	private static final class KeepaliveConnector extends ClientConnector {

		@Override
		protected void configure(SelectableChannel selectable) throws IOException {
			super.configure(selectable);
			if (selectable instanceof SocketChannel channel
					&& channel.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
				channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
				channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS);
				channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEPALIVE_INTERVAL_SECONDS);
				channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
			}
		}

	}

}
