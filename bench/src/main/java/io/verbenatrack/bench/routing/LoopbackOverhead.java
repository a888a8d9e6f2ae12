package io.verbenatrack.bench.routing;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import org.HdrHistogram.Histogram;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.LocalClaimStore;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.TargetSpec;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.routing.RequestLimits;
import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.server.routing.RoutingOptions;
import io.verbenatrack.server.routing.TargetClient;

/**
 * Measures the latency that an entry adds to a direct call over loopback.
 */
final class LoopbackOverhead {

	private static final InstanceId SELF = new InstanceId("i");

	private static final long INTERVAL_NANOS = Duration.ofMillis(2).toNanos();

	private static final int BODY_BYTES = 1024;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final int CLAIMS = 100_000;

	private static final int SLOTS = 8;

	private static final int CONNECTIONS = 64;

	private static final long RENEWAL_CALLS = 200;

	private final Closer closer = new Closer();

	private final HttpClient client = HttpClient.newHttpClient();

	private final VersionedTargetDirectory directory = new VersionedTargetDirectory(SELF);

	private final byte[] body = new byte[BODY_BYTES];

	private TargetSpec target;

	private int entryPort;

	private int requestCount;

	private LoopbackOverhead() {
	}

	static List<RoutingReport.Overhead> measure(RoutingBenchOptions options) throws Exception {
		LoopbackOverhead overhead = new LoopbackOverhead();
		try (overhead.client) {
			overhead.start(options.seed());
			return overhead.compare(options.loopbackCalls());
		}
		finally {
			overhead.closer.close();
		}
	}

	private void start(long seed) throws Exception {
		new SplittableRandom(seed).nextBytes(this.body);
		int targetPort = serve(new EchoHandler());
		this.target = new TargetSpec(new TargetId("t"), SimulatedTarget.SERVICE, new ZoneId("z"),
				"http://127.0.0.1:" + targetPort, SLOTS, CONNECTIONS);
		org.eclipse.jetty.client.HttpClient targetClient = TargetClient.create(null);
		targetClient.start();
		RequestRouting routing = RequestRouting.start(new RoutingOptions(SELF, new ZoneId("z"), this.directory,
				new LocalClaimStore(SELF, InstantSource.system(), Duration.ZERO, CLAIMS), (account) -> 1,
				RoutingSettings.STANDARD, RequestLimits.STANDARD, targetClient, (use) -> {
				}, InstantSource.system(), MonotonicClock.system(), new SplittableRandom(seed), Optional::empty));
		this.entryPort = serve(routing.handler());
		this.closer.register(routing);
	}

	private int serve(Handler handler) throws Exception {
		Server server = new Server();
		ServerConnector connector = new ServerConnector(server, 1, 1);
		connector.setHost("127.0.0.1");
		server.addConnector(connector);
		server.setHandler(handler);
		server.start();
		this.closer.register(server::stop);
		return connector.getLocalPort();
	}

	private List<RoutingReport.Overhead> compare(int calls) throws Exception {
		// The first round warms up the JIT compiler and the connections, and is
		// discarded.
		List<RoutingReport.Overhead> overheads = new ArrayList<>();
		for (int round = 0; round < 2; round++) {
			Histogram direct = call(calls, () -> request(this.target.url() + "/jalan", true));
			Histogram idempotent = call(calls, () -> request(entry(), true));
			Histogram claimed = call(calls, () -> request(entry(), false));
			overheads = List.of(overhead("idempotent", direct, idempotent),
					overhead("not idempotent", direct, claimed));
		}
		return overheads;
	}

	private String entry() {
		return "http://127.0.0.1:" + this.entryPort + "/v1/requests/jalan";
	}

	private static RoutingReport.Overhead overhead(String kind, Histogram direct, Histogram through) {
		double directP50 = millis(direct, 50);
		double directP99 = millis(direct, 99);
		return new RoutingReport.Overhead(kind, directP50, directP99, millis(through, 50) - directP50,
				millis(through, 99) - directP99);
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / (double) VirtualClock.NANOS_PER_MILLI;
	}

	private Histogram call(int calls, Supplier<HttpRequest> requests) throws Exception {
		Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
		long next = System.nanoTime();
		for (int i = 0; i < calls; i++) {
			if (i % RENEWAL_CALLS == 0) {
				this.directory.announce(this.target, 0, 0, System.nanoTime());
			}
			next += INTERVAL_NANOS;
			LockSupport.parkNanos(next - System.nanoTime());
			HttpRequest request = requests.get();
			long start = System.nanoTime();
			HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
			histogram.recordValueWithExpectedInterval(System.nanoTime() - start, INTERVAL_NANOS);
			if (response.statusCode() != 200 || response.body().length != BODY_BYTES) {
				throw new IllegalStateException("A call did not return the request body: "
						+ new String(response.body(), StandardCharsets.UTF_8));
			}
		}
		return histogram;
	}

	private HttpRequest request(String url, boolean idempotent) {
		String id = "r-" + this.requestCount++;
		return HttpRequest.newBuilder(URI.create(url))
			.header("Verbenatrack-Request-Id", id)
			.header("Verbenatrack-Attempt", id)
			.header("Verbenatrack-Account", "catering")
			.header("Verbenatrack-Idempotent", String.valueOf(idempotent))
			.header("Verbenatrack-Timeout-Ms", "5000")
			.POST(HttpRequest.BodyPublishers.ofByteArray(this.body))
			.build();
	}

	/**
	 * Target that echoes the request body.
	 */
	private static final class EchoHandler extends Handler.Abstract {

		@Override
		public boolean handle(Request request, Response response, Callback callback) throws Exception {
			ByteBuffer content = Content.Source.asByteBuffer(request);
			byte[] bytes = new byte[content.remaining()];
			content.get(bytes);
			response.getHeaders().put("Verbenatrack-Attempt", request.getHeaders().get("Verbenatrack-Attempt"));
			response.getHeaders().put("Verbenatrack-Digest", BodyDigest.of(bytes).header());
			response.getHeaders().put("Content-Length", bytes.length);
			response.write(true, ByteBuffer.wrap(bytes), callback);
			return true;
		}

	}

}
