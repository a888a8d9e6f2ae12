package io.verbenatrack.server.routing;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.ClaimStore;
import io.verbenatrack.routing.LocalClaimStore;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.VersionedTargetDirectory;

/**
 * Runs request routing on loopback with the targets of a test.
 */
final class RoutingFixture implements AutoCloseable {

	static final long SEED = 42;

	static final InstanceId SELF = new InstanceId("i-1");

	private static final Duration CLAIM_MARGIN = Duration.ofMinutes(1);

	private static final int CLAIMS = 10_000;

	private static final long RENEWAL_MILLIS = 500;

	private final Closer closer = new Closer();

	private final VersionedTargetDirectory directory = new VersionedTargetDirectory(SELF);

	private final RequestRouting routing;

	private final HttpClient client = HttpClient.newHttpClient();

	private final int port;

	RoutingFixture(FaultyTarget... targets) throws Exception {
		this(new LocalClaimStore(SELF, InstantSource.system(), CLAIM_MARGIN, CLAIMS), RoutingSettings.STANDARD,
				targets);
	}

	RoutingFixture(ClaimStore claims, RoutingSettings settings, FaultyTarget... targets) throws Exception {
		org.eclipse.jetty.client.HttpClient targetClient = TargetClient.create(null);
		targetClient.start();
		this.routing = this.closer.register(RequestRouting.start(new RoutingOptions(SELF, new ZoneId("shah-alam"),
				this.directory, claims, (account) -> 1, settings, RequestLimits.STANDARD, targetClient, (use) -> {
				}, InstantSource.system(), MonotonicClock.system(), new SplittableRandom(SEED), Optional::empty)));
		Server server = new Server();
		ServerConnector connector = new ServerConnector(server, 1, 1);
		connector.setHost("127.0.0.1");
		server.addConnector(connector);
		server.setHandler(this.routing.handler());
		server.start();
		this.port = connector.getLocalPort();
		this.closer.register(server::stop);
		announce(targets);
		ScheduledExecutorService renewals = Executors.newSingleThreadScheduledExecutor();
		renewals.scheduleAtFixedRate(() -> announce(targets), RENEWAL_MILLIS, RENEWAL_MILLIS, TimeUnit.MILLISECONDS);
		this.closer.register(renewals::shutdownNow);
	}

	private void announce(FaultyTarget... targets) {
		for (FaultyTarget target : targets) {
			this.directory.announce(target.spec(), 0, 0, System.nanoTime());
		}
	}

	VersionedTargetDirectory directory() {
		return this.directory;
	}

	RequestRouting routing() {
		return this.routing;
	}

	HttpRequest request(String id, boolean idempotent, Duration timeout, byte[] body, String... headers) {
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.port + "/v1/requests/jalan"))
			.header("Verbenatrack-Request-Id", id)
			.header("Verbenatrack-Account", "vans")
			.header("Verbenatrack-Idempotent", String.valueOf(idempotent))
			.header("Verbenatrack-Timeout-Ms", String.valueOf(timeout.toMillis()))
			.POST(HttpRequest.BodyPublishers.ofByteArray(body));
		List.of(headers).forEach((header) -> builder.header(header.split("=", 2)[0], header.split("=", 2)[1]));
		return builder.build();
	}

	HttpResponse<byte[]> send(HttpRequest request) throws IOException, InterruptedException {
		return this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
	}

	CompletableFuture<HttpResponse<byte[]>> sendAsync(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
	}

	static String outcome(HttpResponse<?> response) {
		return response.headers().firstValue("Verbenatrack-Outcome").orElse("refused");
	}

	@Override
	public void close() {
		this.client.close();
		this.closer.close();
	}

}
