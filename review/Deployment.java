package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A small deployment: the programs of the deploy file as separate processes, each on a
 * loopback address of its own.
 */
final class Deployment implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int METRICS_PORT = 9464;

	private static final int MAX_START_SECONDS = 30;

	private final Map<String, Machine> machines = new LinkedHashMap<>();

	private final Path root;

	private final Path folder;

	private final Recorder recorder;

	private final String network;

	private final int frontPort;

	private final int readyPort;

	private final int controlPort;

	private final int internalPort;

	/** A machine and its process. */
	static final class Machine {

		final String name;

		final String ip;

		final boolean control;

		private Process process;

		private Machine(String name, String ip, boolean control) {
			this.name = name;
			this.ip = ip;
			this.control = control;
		}

	}

	Deployment(Path root, Recorder recorder) throws IOException {
		this.root = root;
		this.recorder = recorder;
		this.folder = Files.createTempDirectory("verbenatrack-review");
		Random random = new Random();
		this.network = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
		this.frontPort = freePort();
		this.readyPort = freePort();
		this.controlPort = freePort();
		this.internalPort = freePort();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress("127.0.0.1", 0));
			return socket.getLocalPort();
		}
	}

	/** Adds a machine without starting it. */
	Machine add(String name, int host, boolean control) {
		Machine machine = new Machine(name, this.network + host, control);
		this.machines.put(name, machine);
		return machine;
	}

	String front(Machine machine) {
		return machine.ip + ":" + this.frontPort;
	}

	String control(Machine machine) {
		return machine.ip + ":" + this.controlPort;
	}

	String ready(Machine machine) {
		return machine.ip + ":" + this.readyPort;
	}

	String loopback(int host, int port) {
		return this.network + host + ":" + port;
	}

	List<Machine> controls() {
		return this.machines.values().stream().filter((machine) -> machine.control).toList();
	}

	/** Writes the settings file of a machine. */
	void settings(Machine machine, List<Machine> seeds, boolean bootstrap) throws IOException {
		ObjectNode settings = JSON.createObjectNode();
		settings.put(Wire.INSTANCE_NAME, machine.name).put("role", machine.control ? "control" : "entry");
		settings.put(Wire.MACHINE_CLASS, machine.control ? "core" : "edge");
		settings.putArray("serves").add(machine.control ? "control" : "edge");
		settings.put("ip", machine.ip).put("zone", "zone-1").put("region", "region-1");
		settings.putObject("zones").put("zone-1", "region-1");
		ObjectNode listen = settings.putObject("listen");
		if (machine.control) {
			listen.put("control", control(machine));
		}
		else {
			listen.put("front", front(machine)).put("ready", ready(machine));
		}
		settings.putArray(Wire.INTERNAL_PORTS).add(this.internalPort).add(this.internalPort + 15);
		var seedList = settings.putArray("seeds");
		seeds.forEach((seed) -> seedList.add(control(seed)));
		settings.put("bootstrap", bootstrap).put("faultCounted", machine.control);
		if (machine.control) {
			Path data = Files.createDirectories(this.folder.resolve(machine.name + ".data"));
			settings.put(Wire.DATA_FOLDER, data.toString());
		}
		else {
			settings.putNull(Wire.DATA_FOLDER);
		}
		settings.put("discovery", "registry").put("entry", "vip").put("heartbeatMs", 1500);
		settings.putObject("faultTolerance").put("machines", 1).put("zones", 0).put("regions", 0);
		settings.set("bounds", JSON.readTree("""
				{"seedLagS":3,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,
				"configApplyMs":2000,"revokeMs":5000,"recoveryS":12,"holdMaxMs":6000,"stopMs":400,
				"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"finish_s":14,"status_s":120,
				"fencingEnforced":true,"leaseMs":3000}"""));
		settings.put("config_mode", "highest").put("orders", "heartbeat");
		Path file = settingsFile(machine);
		Path temporary = file.resolveSibling(file.getFileName() + ".new");
		Files.writeString(temporary, settings.toPrettyString());
		Files.move(temporary, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
				java.nio.file.StandardCopyOption.REPLACE_EXISTING);
	}

	private Path settingsFile(Machine machine) {
		return this.folder.resolve(machine.name + ".json");
	}

	/** Starts the process of a machine with the command of the deploy file. */
	void start(Machine machine) throws IOException {
		List<String> command = command(machine.control ? "control" : "entry");
		ProcessBuilder builder = new ProcessBuilder(command).directory(this.root.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put(Wire.SETTINGS_VARIABLE, settingsFile(machine).toString());
		builder.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(machine.name + ".log").toFile()));
		machine.process = builder.start();
		this.recorder.write("start " + machine.name + " at " + machine.ip);
	}

	private List<String> command(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.trim().equals("[roles." + role + "]");
			}
			else if (inRole && line.startsWith("run = \"")) {
				return new ArrayList<>(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
			}
		}
		throw new IOException("deploy/system.toml has no role " + role);
	}

	/** Sends a signal to the process of a machine. */
	void signal(Machine machine, String name) throws IOException, InterruptedException {
		this.recorder.write("signal " + name + " to " + machine.name);
		new ProcessBuilder("kill", "-" + name, Long.toString(machine.process.pid())).start().waitFor();
	}

	void kill(Machine machine) throws InterruptedException {
		this.recorder.write("kill " + machine.name);
		machine.process.destroyForcibly().waitFor();
	}

	/** Removes the data of a machine that does not run. */
	void wipe(Machine machine) throws IOException {
		this.recorder.write("the disk of " + machine.name + " is lost");
		Path data = this.folder.resolve(machine.name + ".data");
		try (Stream<Path> files = Files.walk(data)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		Files.createDirectories(data);
	}

	void terminate(Machine machine) throws InterruptedException {
		this.recorder.write("SIGTERM to " + machine.name);
		machine.process.destroy();
		if (!machine.process.waitFor(6, TimeUnit.SECONDS)) {
			machine.process.destroyForcibly().waitFor();
		}
	}

	boolean running(Machine machine) {
		return machine.process != null && machine.process.isAlive();
	}

	/** Returns the last lines that the process of a machine wrote. */
	List<String> log(Machine machine) throws IOException {
		try (Stream<String> lines = Files.lines(this.folder.resolve(machine.name + ".log"))) {
			return lines.toList();
		}
	}

	/** Waits until a machine that takes client calls reports itself ready. */
	boolean awaitReady(Machine machine, Http http) throws InterruptedException {
		for (int tries = 0; tries < MAX_START_SECONDS * 5; tries++) {
			if (http.call("GET", ready(machine), Wire.READINESS_PATH, Map.of(), null, Duration.ofSeconds(1))
				.status() == 200) {
				this.recorder.write("ready " + machine.name);
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	/** Returns the value of a metric of a machine, or -1 without an answer. */
	double metric(Machine machine, String name, Http http) {
		Http.Answer answer = http.call("GET", machine.ip + ":" + METRICS_PORT, "/metrics", Map.of(), null,
				Duration.ofSeconds(1));
		return answer.body()
			.lines()
			.filter((line) -> line.startsWith(name + " ") || line.startsWith(name + "{"))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.findFirst()
			.orElse(-1);
	}

	@Override
	public synchronized void close() {
		for (Machine machine : this.machines.values()) {
			if (running(machine)) {
				machine.process.destroyForcibly();
			}
		}
		try (Stream<Path> files = Files.exists(this.folder) ? Files.walk(this.folder) : Stream.empty()) {
			if (System.getenv("KEEP_LOGS") == null) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
		}
		catch (IOException ex) {
			System.err.println("The temporary folder " + this.folder + " is not removed: " + ex);
		}
	}

}
