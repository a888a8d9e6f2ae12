package io.verbenatrack.server;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.awaitility.Awaitility;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;
import io.verbenatrack.standin.StandinFleet;
import io.verbenatrack.standin.StandinTarget;
import io.verbenatrack.standin.WorkTable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs several instances over loopback. The first three are control replicas with a data
 * folder.
 */
final class ClusterFixture implements AutoCloseable {

	static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);

	private static final int REPLICAS = 3;

	private final Closer closer = new Closer();

	private final Map<Integer, Instance> instances = new TreeMap<>();

	private final List<Integer> grpcPorts = new ArrayList<>();

	private final List<Integer> httpPorts = new ArrayList<>();

	private final Path data;

	private final HttpClient client = HttpClient.newHttpClient();

	private final StandinFleet fleet;

	ClusterFixture(int count) throws Exception {
		this.data = Files.createTempDirectory("cluster-tests");
		List<Integer> ports = freePorts(2 * count);
		this.grpcPorts.addAll(ports.subList(0, count));
		this.httpPorts.addAll(ports.subList(count, 2 * count));
		for (int number = 0; number < count; number++) {
			start(number);
		}
		this.fleet = this.closer
			.register(new StandinFleet(this.httpPorts.stream().map(ClusterFixture::uri).toList(), new ShortWork()));
		Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> declareAccount() == 200);
	}

	private static List<Integer> freePorts(int count) throws Exception {
		List<ServerSocket> sockets = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
		}
		List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	private static URI uri(int port) {
		return URI.create("http://127.0.0.1:" + port);
	}

	void start(int number) throws Exception {
		this.instances.put(number, Instance.start(settings(number)));
	}

	private InstanceSettings settings(int number) {
		StringBuilder yaml = new StringBuilder("cluster: test\nregion: r\nzone: z-" + number % REPLICAS + "\n");
		yaml.append("instance: i-" + number + "\nhttp: 127.0.0.1:" + this.httpPorts.get(number));
		yaml.append("\ngrpc: 127.0.0.1:" + this.grpcPorts.get(number) + "\n");
		if (number < REPLICAS) {
			yaml.append("data: " + this.data.resolve("i-" + number) + "\n");
		}
		yaml.append("timeouts: {balancer-delay: 0s, shutdown-deadline: 5s}\npeers:\n");
		for (int peer = 0; peer < this.grpcPorts.size(); peer++) {
			if (peer != number) {
				yaml.append(
						"  - {instance: i-" + peer + ", region: r, zone: z-" + peer % REPLICAS + ", grpc: \"127.0.0.1:"
								+ this.grpcPorts.get(peer) + "\", replica: " + (peer < REPLICAS) + "}\n");
			}
		}
		Result<InstanceSettings> read = InstanceSettingsReader.read("i-" + number + ".yaml",
				yaml.toString().getBytes(StandardCharsets.UTF_8));
		assertThat(read).isInstanceOf(Result.Success.class);
		return ((Result.Success<InstanceSettings>) read).value();
	}

	void stop(int number) {
		this.instances.remove(number).close();
	}

	void shutdown(int number) {
		this.instances.remove(number).shutdown();
	}

	StandinFleet fleet() {
		return this.fleet;
	}

	void addWorkers(int count) {
		for (int i = 0; i < count; i++) {
			this.fleet.addWorker(
					new WorkerSpec(new WorkerId("w-" + i), new ZoneId("z-0"), new RackId("rack"), i, 64, 256, 8));
		}
	}

	void addTargets(int count) {
		for (int i = 0; i < count; i++) {
			this.fleet.addTarget(new StandinTarget("t-" + i, "jalan", "z-" + i % REPLICAS, 8, 64));
		}
	}

	private int declareAccount() throws Exception {
		return send(request(0, "/v1/declarations?expectedRevision=0&changeId=c-1").PUT(HttpRequest.BodyPublishers
			.ofString("{\"accounts\": [{\"id\": \"a\", \"weight\": 1, \"degradeOrder\": 0, \"guarantees\": []}]}")))
			.statusCode();
	}

	int submit(int instance, String job, int accelerators) throws Exception {
		String body = "{\"id\": \"" + job + "\", \"account\": \"a\", \"class\": \"c\", \"accelerators\": "
				+ accelerators + ", \"coresPerAccelerator\": 1, \"memoryGibPerAccelerator\": 1, \"runTime\": \"1s\"}";
		return send(request(instance, "/v1/jobs").POST(HttpRequest.BodyPublishers.ofString(body))).statusCode();
	}

	String job(int instance, String job) throws Exception {
		return send(request(instance, "/v1/jobs/" + job).GET()).body();
	}

	HttpResponse<String> sendRequest(int instance, String id, boolean idempotent) throws Exception {
		return send(request(instance, "/v1/requests/jalan").header("Verbenatrack-Request-Id", id)
			.header("Verbenatrack-Account", "a")
			.header("Verbenatrack-Idempotent", String.valueOf(idempotent))
			.header("Verbenatrack-Timeout-Ms", "8000")
			.POST(HttpRequest.BodyPublishers.ofString("plan")));
	}

	String get(int instance, String path) throws Exception {
		return send(request(instance, path).GET()).body();
	}

	int status(int instance, String path) throws Exception {
		return send(request(instance, path).GET()).statusCode();
	}

	private HttpRequest.Builder request(int instance, String path) {
		return HttpRequest.newBuilder(uri(this.httpPorts.get(instance)).resolve(path)).timeout(AWAIT_TIMEOUT);
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	int runs(String request) {
		return this.fleet.targets().stream().mapToInt((target) -> target.runs(request)).sum();
	}

	@Override
	public void close() {
		this.closer.close();
		this.instances.values().forEach(Instance::close);
	}

	private static final class ShortWork implements WorkTable {

		@Override
		public Duration runTime(String job, Duration declared) {
			return Duration.ofMillis(100);
		}

		@Override
		public Duration serviceTime(String request) {
			return request.startsWith("slow") ? Duration.ofSeconds(1) : Duration.ofMillis(1);
		}

	}

}
