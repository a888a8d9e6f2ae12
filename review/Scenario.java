package review;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A case: a small deployment with executors, a client and an operator. */
abstract class Scenario {

	static final int HELD = 0;

	static final int BROKEN = 10;

	static final int CANNOT_RUN = 2;

	static final String SERVICE = "svc1";

	static final String HOST = "jobs.example";

	static final String PREFIX = "/q1/";

	static final String KEY = "d4a3hwrr6x73d3zji9n7";

	private static final long MAX_SECONDS = 115;

	final Http http = new Http();

	final Jobs jobs = new Jobs();

	final List<Executor> executors = new ArrayList<>();

	final List<Deployment.Machine> controls = new ArrayList<>();

	final List<Deployment.Machine> entries = new ArrayList<>();

	Recorder recorder;

	Deployment deployment;

	boolean trouble;

	/** The key of the client's calls. */
	String key = KEY;

	/** The prefix of the queue of the client's calls. */
	String prefix = PREFIX;

	/** Runs the case and returns the status of the process. */
	abstract int play() throws Exception;

	/** Runs a case: arguments are the repository and the folder of the case. */
	static void run(Scenario scenario, String[] arguments) {
		int status = CANNOT_RUN;
		try {
			scenario.recorder = new Recorder(Path.of(arguments[1], "record.txt"));
			limitTime(scenario.recorder);
			scenario.trouble = !"0".equals(System.getenv("TROUBLE"));
			scenario.recorder.write("disruption: " + (scenario.trouble ? "yes" : "no"));
			scenario.deployment = new Deployment(Path.of(arguments[0]), scenario.recorder);
			status = scenario.play();
			scenario.executors.forEach(Executor::close);
			scenario.recorder.write("result: " + switch (status) {
				case HELD -> "the rule held";
				case BROKEN -> "the rule was broken";
				default -> "the case could not run";
			});
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			status = CANNOT_RUN;
		}
		System.exit(status);
	}

	private static void limitTime(Recorder recorder) {
		Thread.ofPlatform().daemon().start(() -> {
			try {
				TimeUnit.SECONDS.sleep(MAX_SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			recorder.write("result: the case could not run within " + MAX_SECONDS + " s");
			System.exit(CANNOT_RUN);
		});
	}

	/** Starts three machines for control and some for clients, and sends a configuration. */
	boolean startSystem(int entryCount) throws Exception {
		for (int number = 1; number <= 3; number++) {
			this.controls.add(this.deployment.add("core-" + number, 10 + number, true));
		}
		for (int number = 1; number <= entryCount; number++) {
			this.entries.add(this.deployment.add("edge-" + number, 30 + number, false));
		}
		for (Deployment.Machine machine : this.controls) {
			this.deployment.settings(machine, this.controls, true);
			this.deployment.start(machine);
		}
		for (Deployment.Machine machine : this.entries) {
			this.deployment.settings(machine, this.controls, true);
			this.deployment.start(machine);
		}
		for (Deployment.Machine machine : this.entries) {
			if (!this.deployment.awaitReady(machine, this.http)) {
				return false;
			}
		}
		return configure(1, this.controls);
	}

	/** Sends a configuration to one machine after the other until it is acknowledged. */
	boolean configure(long version, List<Deployment.Machine> receivers) throws InterruptedException {
		return configure(version, receivers, 40);
	}

	boolean configure(long version, List<Deployment.Machine> receivers, int maxTries) throws InterruptedException {
		String body = configuration(version).toString();
		for (int tries = 0; tries < maxTries; tries++) {
			Deployment.Machine receiver = receivers.get(tries % receivers.size());
			Http.Answer answer = this.http.call("PUT", this.deployment.control(receiver), Wire.CONFIGURATION_PATH,
					Map.of("Content-Type", "application/json"), body, Duration.ofSeconds(1));
			this.recorder.write("operator sends configuration " + version + " to " + receiver.name + ": "
					+ answer.status());
			if (answer.success()) {
				return true;
			}
			Thread.sleep(250);
		}
		return false;
	}

	ObjectNode configuration(long version) {
		ObjectNode configuration = Deployment.JSON.createObjectNode().put("version", version);
		configuration.putArray("routes")
			.addObject()
			.put("name", "r-1")
			.put("host", HOST)
			.put(Wire.PATH_PREFIX, PREFIX)
			.put("kind", "non_idempotent")
			.put("timeoutMs", 3000)
			.put(Wire.LATENCY_MILLIS, 4000)
			.put("priority", 2)
			.put("service", SERVICE)
			.put(Wire.ATTEMPTS, 4)
			.put("stretch", 3.0)
			.put(Wire.OPEN, false);
		configuration.putArray("services")
			.addObject()
			.put("name", SERVICE)
			.put("healthPath", "/health")
			.put("maxConns", 64)
			.put("protocol", "h1")
			.put("tls", false)
			.put(Wire.ENFORCES_CAPACITY, true)
			.put("spare", false);
		configuration.putObject("limits")
			.put("maxHeaderBytes", 16384)
			.put("maxBodyBytes", 262144)
			.put("headerTimeoutMs", 3000)
			.put("idleTimeoutMs", 15000);
		ObjectNode tenant = configuration.putArray("tenants").addObject().put("name", "tenant-1");
		tenant.putArray(Wire.KEYS).add(KEY);
		tenant.put("priority", 1).putObject("guaranteed").put("gpu", 8);
		return configuration;
	}

	/** Adds an executor of the service. */
	Executor executor(int number, String kind, Executor.Faults faults) {
		List<String> addresses = this.controls.stream().map(this.deployment::control).toList();
		Executor executor = new Executor("i-" + number, SERVICE, this.deployment.loopback(100 + number, 8080), kind,
				"r1-" + (1 + (number - 1) / 8), addresses, this.jobs, this.http, this.recorder, faults);
		this.executors.add(executor);
		return executor;
	}

	/** Submits a job with one step and repeats it, as clients do, without a clear answer. */
	boolean submit(String job, Jobs.Step step, String needs, Deployment.Machine entry) throws InterruptedException {
		this.jobs.add(job, 0, step);
		ObjectNode body = Deployment.JSON.createObjectNode().put("spec", "spec of " + job);
		ArrayNode steps = body.putArray("steps");
		ObjectNode only = steps.addObject().put("count", step.count()).put("cpu", step.cpu());
		only.put(Wire.MEMORY_MB, step.memMb()).put("gpu", step.gpu()).put(Wire.ESTIMATE_MILLIS, step.workMs());
		if (step.gang()) {
			only.put("gang", true);
		}
		if (step.lasts()) {
			only.put(Wire.LASTING, true);
		}
		if (!needs.isEmpty()) {
			only.put("needs", needs);
		}
		if (step.perExecutor() > 0) {
			only.put(Wire.MOST_ON_ONE_WORKER, step.perExecutor());
		}
		for (int tries = 0; tries < 5; tries++) {
			Http.Answer answer = client("POST", job, body.toString(), entry);
			if (answer.success()) {
				return true;
			}
			Thread.sleep(300);
		}
		return false;
	}

	/** Returns the state of a job, or the status of an answer that holds none. */
	String state(String job, Deployment.Machine entry) throws java.io.IOException {
		Http.Answer answer = client("GET", job, null, entry);
		return answer.success() ? Deployment.JSON.readTree(answer.body()).path("state").asText()
				: Integer.toString(answer.status());
	}

	Http.Answer client(String method, String job, String body, Deployment.Machine entry) {
		Http.Answer answer = this.http.call(method, this.deployment.front(entry), this.prefix + job,
				Map.of("Host", HOST, Wire.KEY_HEADER, this.key, "Content-Type", "application/json", Wire.DEADLINE_HEADER, "3000"),
				body, Duration.ofSeconds(3));
		this.recorder.write("client " + method + " " + job + " at " + entry.name + ": " + answer.status() + " "
				+ answer.body());
		return answer;
	}

	/** Returns all runs of a job on all executors. */
	List<Executor.Run> runs(String job) {
		return this.executors.stream()
			.flatMap((executor) -> executor.history().stream())
			.filter((run) -> run.task.startsWith(job + "."))
			.toList();
	}

	static boolean overlap(Executor.Run first, Executor.Run second) {
		double firstEnd = (first.endedSeconds < 0) ? Double.MAX_VALUE : first.endedSeconds;
		double secondEnd = (second.endedSeconds < 0) ? Double.MAX_VALUE : second.endedSeconds;
		return first.startedSeconds < secondEnd && second.startedSeconds < firstEnd;
	}

}
