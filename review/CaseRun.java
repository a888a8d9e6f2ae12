package secondreview;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Starts a small deployment with the commands of the deploy file and records what its clients, its operator and
 * its workers see. Each machine has a loopback address of its own.
 */
final class CaseRun implements AutoCloseable {

	static final int HELD = 0;

	/** Differs from the status of a JVM that could not start; the scripts turn it into 1. */
	static final int BROKEN = 3;

	static final int NOT_RUN = 2;

	static final String SERVICE = "hub";

	static final String HOST = "jobs.example";

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	private static final int REPLICAS = 3;

	private static final Properties WIRE = readWire();

	private final long startedNanos = System.nanoTime();

	private final Path root = Path.of("").toAbsolutePath();

	private final Path folder;

	private final PrintWriter recordWriter;

	private final int network = ThreadLocalRandom.current().nextInt(1, 255);

	private final int network2 = ThreadLocalRandom.current().nextInt(0, 255);

	private final List<Process> processes = new ArrayList<>();

	private final List<AutoCloseable> resources = new ArrayList<>();

	final int frontPort;

	final int readyPort;

	final int controlPort;

	final int internalPort;

	/** The port at which entries look for the replicas; differs from the replicas' port if a proxy is between. */
	int entryInternalPort;

	private String apiKey = "key-one";

	private volatile boolean closing;

	private CaseRun(String record) throws IOException {
		this.folder = Files.createTempDirectory("second-review");
		this.recordWriter = new PrintWriter(Files.newBufferedWriter(Path.of(record)), true);
		this.frontPort = freePort();
		this.readyPort = freePort();
		this.controlPort = freePort();
		this.internalPort = freePort();
		this.entryInternalPort = this.internalPort;
	}

	interface Case {

		/** Returns whether the rule was broken. */
		boolean broken(CaseRun run) throws Exception;

	}

	/** Runs a case and exits with its status. */
	static void main(String record, Case played) throws Exception {
		int status = NOT_RUN;
		try (CaseRun run = new CaseRun(record)) {
			Thread watchdog = new Thread(() -> {
				try {
					Thread.sleep(112_000);
					run.record("case", "stopped after 112 s");
					run.close();
				}
				catch (InterruptedException ex) {
					return;
				}
				Runtime.getRuntime().halt(NOT_RUN);
			});
			watchdog.setDaemon(true);
			watchdog.start();
			Runtime.getRuntime().addShutdownHook(new Thread(run::close));
			run.record("case", "trouble " + (TROUBLE ? "1" : "0"));
			try {
				boolean broken = played.broken(run);
				status = broken ? BROKEN : HELD;
				run.record("case", broken ? "RULE BROKEN" : "the rule held");
			}
			catch (Exception ex) {
				run.record("case", "could not run: " + ex);
				ex.printStackTrace();
			}
			watchdog.interrupt();
		}
		System.exit(status);
	}

	/** A name of the platform. */
	static String wire(String name) {
		return WIRE.getProperty(name);
	}

	private static Properties readWire() {
		Properties names = new Properties();
		try (InputStream input = Files.newInputStream(Path.of("review/wire-2.properties"))) {
			names.load(input);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

	long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	synchronized void record(String who, String what) {
		String line = String.format(Locale.ROOT, "%8.3f %-12s %s", nowMillis() / 1000.0, who, what);
		this.recordWriter.println(line);
		System.out.println(line);
	}

	<T extends AutoCloseable> T register(T resource) {
		synchronized (this.resources) {
			this.resources.add(resource);
		}
		return resource;
	}

	/** The address of a machine: replicas are 1 to 3, entries from 11, workers from 101. */
	String ip(int machine) {
		return "127." + this.network + "." + this.network2 + "." + machine;
	}

	String control(int replica) {
		return ip(replica) + ":" + this.controlPort;
	}

	String front(int entry) {
		return ip(10 + entry) + ":" + this.frontPort;
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	void startReplicas() throws Exception {
		for (int replica = 1; replica <= REPLICAS; replica++) {
			startReplica(replica, true);
		}
	}

	private Path dataFolder(int replica) {
		return this.folder.resolve("data-" + replica);
	}

	Process startReplica(int replica, boolean bootstrap) throws Exception {
		Path data = dataFolder(replica);
		Files.createDirectories(data);
		return start("control", "core-" + replica, settings("core-" + replica, "core", ip(replica),
				"\"control\":\"" + control(replica) + "\"", this.internalPort, "\"" + data + "\"", bootstrap));
	}

	Process startEntry(int entry) throws Exception {
		String listen = "\"front\":\"" + front(entry) + "\",\"ready\":\"" + ip(10 + entry) + ":" + this.readyPort + "\"";
		return start("entry", "edge-" + entry,
				settings("edge-" + entry, "edge", ip(10 + entry), listen, this.entryInternalPort, "null", true));
	}

	private String settings(String name, String machineClass, String ip, String listen, int internal, String dataDir,
			boolean bootstrap) {
		List<String> seeds = new ArrayList<>();
		for (int replica = 1; replica <= REPLICAS; replica++) {
			seeds.add("\"" + control(replica) + "\"");
		}
		return "{\"nodeName\":\"" + name + "\",\"role\":\"" + machineClass + "\",\"machineClass\":\"" + machineClass
				+ "\",\"serves\":[\"" + ("core".equals(machineClass) ? "control" : "edge") + "\"],\"ip\":\"" + ip
				+ "\",\"zone\":\"zone-a\",\"region\":\"region\",\"zones\":{\"zone-a\":\"region\"},\"listen\":{" + listen
				+ "},\"internalPorts\":[" + internal + "," + (internal + 15) + "],\"seeds\":[" + String.join(",", seeds)
				+ "],\"bootstrap\":" + bootstrap + ",\"faultCounted\":" + "core".equals(machineClass)
				+ ",\"limits\":{\"cpuShare\":0.75,\"cores\":2,\"memoryMb\":426,\"maxFds\":4096,\"linkMbps\":1000.0,"
				+ "\"diskMb\":128},\"dataDir\":" + dataDir + ",\"discovery\":\"registry\",\"entry\":\"vip\","
				+ "\"heartbeatMs\":1500,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
				+ "\"tenants\"],\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
				+ "\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":6,\"configApplyMs\":2000,"
				+ "\"holdMaxMs\":6000,\"stopMs\":400,\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"status_s\":120},"
				+ "\"config_mode\":\"highest\",\"orders\":\"heartbeat\"}";
	}

	/**
	 * Restarts a replica that ends by itself, as the platform does.
	 * @return counts the ends
	 */
	AtomicInteger restartWhenEnded(int replica, Process first) {
		AtomicInteger ends = new AtomicInteger();
		Thread thread = new Thread(() -> {
			Process process = first;
			while (true) {
				try {
					int status = process.waitFor();
					if (this.closing) {
						return;
					}
					ends.incrementAndGet();
					record("core-" + replica, "ended by itself with status " + status);
					Thread.sleep(500);
					process = startReplica(replica, false);
				}
				catch (Exception ex) {
					return;
				}
			}
		}, "platform-" + replica);
		thread.setDaemon(true);
		thread.start();
		return ends;
	}

	private Process start(String role, String name, String settings) throws Exception {
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(command(role));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put(wire("settings-variable"), file.toString());
		builder.directory(this.root.toFile());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		Process process;
		synchronized (this.processes) {
			if (this.closing) {
				throw new IOException("the case is over");
			}
			process = builder.start();
			this.processes.add(process);
		}
		record(name, "started");
		return process;
	}

	private List<String> command(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.trim().equals("[roles." + role + "]");
			}
			if (inRole && line.startsWith("run")) {
				String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				return List.of(text.split(" +"));
			}
		}
		throw new IOException("deploy/system.toml has no role " + role);
	}

	/** A configuration with the routes given as rows of name, prefix, priority and attempts. */
	static String configuration(long version, List<Object[]> routes, String tenants) {
		List<String> rows = new ArrayList<>();
		for (Object[] route : routes) {
			rows.add("{\"name\":\"" + route[0] + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + route[1]
					+ "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1500,\"priority\":" + route[2]
					+ ",\"service\":\"" + SERVICE + "\",\"maxAttempts\":" + route[3]
					+ ",\"stretch\":3.0,\"authExempt\":false}");
		}
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", rows) + "],\"services\":[{\"name\":\"" + SERVICE
				+ "\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"enforcesCapacity\":true,\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
				+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}";
	}

	static String tenant(String name, String key) {
		return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":8}}";
	}

	void useKey(String key) {
		this.apiKey = key;
	}

	/** Sends a configuration as the operator does, until it has an answer other than a 5xx. */
	int configure(String body, long withinMillis) throws Exception {
		long end = nowMillis() + withinMillis;
		for (int turn = 0; nowMillis() < end; turn++) {
			Response response = follow(control(1 + turn % REPLICAS), "PUT", wire("configuration-path"), Map.of(), body, 1000);
			if (response != null && response.status < 500 && response.status != 307) {
				record("operator", "PUT config -> " + response.status);
				return response.status;
			}
			Thread.sleep(100);
		}
		throw new IOException("no replica acknowledged the configuration");
	}

	/** A call of a client at an entry; null when there is no answer in time. */
	Response client(int entry, String method, String path, String body) {
		return client(entry, method, path, body, 3000);
	}

	Response client(int entry, String method, String path, String body, int deadlineMillis) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", HOST);
		headers.put(wire("key-header"), this.apiKey);
		headers.put(wire("deadline-header"), Integer.toString(deadlineMillis));
		Response response = call(front(entry), method, path, headers, body, deadlineMillis);
		String shown = (body == null) ? "" : " " + ((body.length() > 200) ? body.substring(0, 200) + "..." : body);
		record("client", method + " " + path + shown + " -> "
				+ ((response != null) ? response.status + " " + response.body : "no answer"));
		return response;
	}

	/** Hands a job in as a client does: after no answer, a 502, 503, 504 or 429 it sends the same again. */
	Response submit(int entry, String path, String body, long withinMillis) throws Exception {
		long end = nowMillis() + withinMillis;
		Response response = null;
		while (nowMillis() < end) {
			response = client(entry, "POST", path, body);
			if (response != null && response.status < 500 && response.status != 429) {
				return response;
			}
			Thread.sleep(300);
		}
		return response;
	}

	Response follow(String address, String method, String path, Map<String, String> headers, String body, int millis) {
		Response response = call(address, method, path, headers, body, millis);
		for (int hop = 0; hop < 2 && response != null && response.status == 307; hop++) {
			String location = response.headers.get("location");
			String rest = location.substring("http://".length());
			int slash = rest.indexOf('/');
			response = call(rest.substring(0, slash), method, rest.substring(slash), headers, body, millis);
		}
		return response;
	}

	/** Sends one HTTP request on a connection of its own; null when there is no whole answer in time. */
	static Response call(String address, String method, String path, Map<String, String> headers, String body,
			int millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), millis);
			socket.setTcpNoDelay(true);
			byte[] content = (body == null) ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			if (!headers.containsKey("Host")) {
				head.append("Host: ").append(address).append("\r\n");
			}
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Type: application/json\r\nContent-Length: ").append(content.length);
			head.append("\r\nConnection: close\r\n\r\n");
			OutputStream output = socket.getOutputStream();
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.write(head.toString().getBytes(StandardCharsets.UTF_8));
			request.write(content);
			output.write(request.toByteArray());
			output.flush();
			InputStream input = socket.getInputStream();
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			byte[] buffer = new byte[65536];
			int wholeBytes = 0;
			while (true) {
				long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
				if (left <= 0) {
					return null;
				}
				socket.setSoTimeout((int) left);
				int count = input.read(buffer);
				if (count < 0) {
					break;
				}
				received.write(buffer, 0, count);
				if (received.size() < wholeBytes) {
					continue;
				}
				String text = received.toString(StandardCharsets.UTF_8);
				Response response = Response.parse(text);
				if (response != null) {
					return response;
				}
				wholeBytes = Response.wholeBytes(text);
			}
			return Response.parse(received.toString(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			return null;
		}
	}

	@Override
	public void close() {
		synchronized (this.resources) {
			this.resources.forEach((resource) -> {
				try {
					resource.close();
				}
				catch (Exception ex) {
					ex.printStackTrace();
				}
			});
			this.resources.clear();
		}
		this.closing = true;
		synchronized (this.processes) {
			this.processes.forEach(Process::destroyForcibly);
			for (Process process : this.processes) {
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
			this.processes.clear();
		}
		if (System.getenv("KEEP") != null) {
			System.out.println("kept " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// The folder is gone already.
		}
	}

	/** An answer. */
	static final class Response {

		final int status;

		final Map<String, String> headers;

		final String body;

		private Response(int status, Map<String, String> headers, String body) {
			this.status = status;
			this.headers = headers;
			this.body = body;
		}

		/** The size that the answer must have, 0 while that is not known. */
		static int wholeBytes(String text) {
			int end = text.indexOf("\r\n\r\n");
			String name = "\r\ncontent-length:";
			int start = text.toLowerCase(Locale.ROOT).indexOf(name);
			if (end < 0 || start < 0 || start > end) {
				return 0;
			}
			String value = text.substring(start + name.length(), text.indexOf("\r\n", start + 2));
			return end + 4 + Integer.parseInt(value.trim());
		}

		static Response parse(String text) {
			int end = text.indexOf("\r\n\r\n");
			if (end < 0) {
				return null;
			}
			String[] lines = text.substring(0, end).split("\r\n");
			Map<String, String> headers = new LinkedHashMap<>();
			for (int line = 1; line < lines.length; line++) {
				int colon = lines[line].indexOf(':');
				headers.put(lines[line].substring(0, colon).toLowerCase(Locale.ROOT),
						lines[line].substring(colon + 1).trim());
			}
			String body = text.substring(end + 4);
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			if (body.getBytes(StandardCharsets.UTF_8).length < length) {
				return null;
			}
			return new Response(Integer.parseInt(lines[0].split(" ")[1]), headers, body);
		}

	}

}
