import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Sound executors as the users' pages describe them. A task learns what it is from its
 * spec, a list of NAME=NUMBER: {@code ms} (its work), {@code gang} (the number of tasks
 * of the gang, 0 for none), {@code last} (1 if it runs until it is stopped), {@code fail}
 * (the work after which a lasting task fails by its own fault, 0 for never) and
 * {@code done} (the work after which a lasting gang ends as done for the first time, 0
 * for never).
 */
final class Executors implements AutoCloseable {

	private static final int GANG_TIMEOUT_MILLIS = 3000;

	private static final int MAX_HOLD_MILLIS = 6000;

	private static final int STOP_MILLIS = 200;

	private static final int HEARTBEAT_MILLIS = 1500;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Record record;

	private final List<String> control;

	private final String service;

	private final boolean failing;

	private final List<Executor> executors = new ArrayList<>();

	private final List<Start> starts = new ArrayList<>();

	private final List<End> ends = new ArrayList<>();

	private volatile boolean closed;

	Executors(Record record, List<String> control, String service, int count, boolean failing) {
		this(record, control, service, 0, count, failing);
	}

	Executors(Record record, List<String> control, String service, int first, int count, boolean failing) {
		this.record = record;
		this.control = control;
		this.service = service;
		this.failing = failing;
		for (int index = first; index < first + count; index++) {
			this.executors.add(new Executor(index));
		}
		this.executors.forEach((executor) -> daemon(executor::beatUntilClosed));
		daemon(this::tickUntilClosed);
	}

	private static void daemon(Runnable body) {
		Thread thread = new Thread(body);
		thread.setDaemon(true);
		thread.start();
	}

	static long now() {
		return System.nanoTime() / 1_000_000;
	}

	synchronized List<Start> starts(String job) {
		return this.starts.stream().filter((start) -> start.task().startsWith(job + ".")).toList();
	}

	synchronized List<End> ends(String job) {
		return this.ends.stream().filter((end) -> end.task().startsWith(job + ".")).toList();
	}

	synchronized long running(String job) {
		return this.executors.stream()
			.flatMap((executor) -> executor.running.keySet().stream())
			.filter((task) -> task.startsWith(job + "."))
			.count();
	}

	/** Cuts the links between an executor and the control processes; what runs on it runs on. */
	synchronized void cutOff(String id) {
		this.record.line(id + " is cut off");
		byId(id).cutOff = true;
	}

	/** Ends an executor for good, with all that it runs and knows. */
	synchronized void crash(String id) {
		this.record.line(id + " crashes for good");
		Executor executor = byId(id);
		executor.crashed = true;
		executor.running.clear();
		executor.ends.clear();
	}

	private Executor byId(String id) {
		return this.executors.stream().filter((executor) -> executor.id.equals(id)).findFirst().orElseThrow();
	}

	synchronized boolean allKnown() {
		return this.executors.stream().allMatch((executor) -> executor.acknowledged);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void tickUntilClosed() {
		while (!this.closed) {
			synchronized (this) {
				tick(now());
			}
			pause(10);
		}
	}

	// Advances all tasks: leases that lapse, gangs that are complete or wait too long, and
	// tasks that end.
	private void tick(long now) {
		for (Executor executor : this.executors) {
			if (now > executor.leaseEnd) {
				for (Run run : new ArrayList<>(executor.running.values())) {
					executor.end(run, "lapsed");
				}
			}
		}
		for (Executor executor : this.executors) {
			for (Run run : new ArrayList<>(executor.running.values())) {
				if (executor.running.get(run.task) == run) {
					advance(executor, run, now);
				}
			}
		}
	}

	private void advance(Executor executor, Run run, long now) {
		if (run.stopAt > 0) {
			if (now >= run.stopAt) {
				executor.end(run, "stopped");
			}
			return;
		}
		if (run.gang > 0 && run.workingSince == 0) {
			List<Run> present = members(run);
			if (present.size() == run.gang) {
				present.forEach((member) -> member.workingSince = now);
			}
			else if (now > run.startedAt + GANG_TIMEOUT_MILLIS) {
				executor.end(run, "alone");
			}
			return;
		}
		long worked = now - run.workingSince;
		if (run.lasting) {
			if (run.done > 0 && run.run == 1 && worked > run.done) {
				endGang(run);
			}
			else if (this.failing && run.fail > 0 && worked > run.fail && (run.gang == 0 || run.task.endsWith(".0"))) {
				executor.end(run, "failed");
			}
		}
		else if (worked > run.millis) {
			if (run.gang > 0) {
				endGang(run);
			}
			else {
				executor.end(run, "done");
			}
		}
	}

	private void endGang(Run run) {
		for (Executor other : this.executors) {
			Run member;
			while ((member = other.memberOf(run)) != null) {
				other.end(member, "done");
			}
		}
	}

	private List<Run> members(Run run) {
		List<Run> members = new ArrayList<>();
		for (Executor executor : this.executors) {
			for (Run other : executor.running.values()) {
				if (other.sameGang(run) && other.stopAt == 0) {
					members.add(other);
				}
			}
		}
		return members;
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	record Start(long at, String task, int run, String spec, String executor) {

	}

	record End(long at, String task, int run, String how, String executor) {

	}

	private static final class Run {

		private final String task;

		private final int run;

		private final String spec;

		private final long startedAt;

		private final long millis;

		private final int gang;

		private final boolean lasting;

		private final long fail;

		private final long done;

		private long workingSince;

		private long stopAt;

		Run(String task, int run, String spec, long now) {
			this.task = task;
			this.run = run;
			this.spec = spec;
			this.startedAt = now;
			Map<String, Long> values = new HashMap<>();
			for (String part : spec.split(";")) {
				String[] pair = part.split("=");
				values.put(pair[0], Long.parseLong(pair[1]));
			}
			this.millis = values.getOrDefault("ms", 500L);
			this.gang = values.getOrDefault("gang", 0L).intValue();
			this.lasting = values.getOrDefault("last", 0L) > 0;
			this.fail = values.getOrDefault("fail", 0L);
			this.done = values.getOrDefault("done", 0L);
			this.workingSince = (this.gang > 0) ? 0 : now;
		}

		boolean sameGang(Run other) {
			return this.run == other.run && step().equals(other.step());
		}

		private String step() {
			return this.task.substring(0, this.task.lastIndexOf('.'));
		}

	}

	private final class Executor {

		private final String id;

		private final String rack;

		private final String address;

		private final long born = System.currentTimeMillis();

		private final long bornSteady = now();

		private final TreeMap<Long, JsonNode> ends = new TreeMap<>();

		private final Map<String, Run> running = new LinkedHashMap<>();

		private final Map<String, Integer> highestRun = new HashMap<>();

		private long lastEnd;

		private long seqNo;

		private long fence;

		private long leaseEnd;

		private long retryAt;

		private boolean wake;

		private boolean acknowledged;

		private boolean cutOff;

		private boolean crashed;

		private String home = "";

		private boolean leased = true;

		private int next;

		Executor(int index) {
			this.id = String.format("i-%08x", 0x7f3a9100 + index);
			this.rack = "r1-" + (1 + index / 8);
			this.address = "127.78.0." + (1 + index) + ":8080";
			this.next = index;
		}

		private Run memberOf(Run run) {
			return this.running.values().stream().filter(run::sameGang).findFirst().orElse(null);
		}

		private void end(Run run, String how) {
			this.running.remove(run.task);
			listEnd(run.task, run.run, how);
			if (run.gang > 0 && !how.equals("done")) {
				for (Executor other : Executors.this.executors) {
					Run member;
					while ((member = other.memberOf(run)) != null) {
						other.running.remove(member.task);
						other.listEnd(member.task, member.run, "broken");
					}
				}
			}
		}

		private void listEnd(String task, int run, String how) {
			long number = ++this.lastEnd;
			ArrayNode row = JSON.createArrayNode().add(number).add(task).add(run).add(how).add("");
			this.ends.put(number, row);
			this.highestRun.merge(task, run, Math::max);
			this.wake = true;
			Executors.this.ends.add(new End(now(), task, run, how, this.id));
			Executors.this.record.line(this.id + " ends " + task + " run " + run + ": " + how);
		}

		private void beatUntilClosed() {
			while (!Executors.this.closed) {
				beat();
			}
		}

		private void beat() {
			String body;
			long sent;
			synchronized (Executors.this) {
				if (this.cutOff || this.crashed) {
					body = "";
				}
				else {
					body = body(now());
				}
				sent = now();
				this.wake = false;
			}
			if (body.isEmpty()) {
				pause(50);
				return;
			}
			String target = this.home.isEmpty()
					? Executors.this.control.get(this.next % Executors.this.control.size()) : this.home;
			Http.Answer answer = Http.call("PUT", target, Names.of("executors-path") + this.id, Map.of(), body, 1000);
			boolean good = answer.ok() && now() - sent <= 1000;
			synchronized (Executors.this) {
				if (this.cutOff || this.crashed) {
					return;
				}
				if (good) {
					this.acknowledged = true;
					obey(answer.body(), sent);
				}
				else {
					this.home = "";
					this.next++;
					this.retryAt = now() + 200;
				}
			}
			while (!Executors.this.closed) {
				synchronized (Executors.this) {
					if (now() >= this.retryAt || (good && this.wake)) {
						break;
					}
				}
				pause(10);
			}
			if (good) {
				pause(40);
			}
		}

		private String body(long now) {
			ObjectNode body = JSON.createObjectNode();
			body.put("service", Executors.this.service).put("address", this.address).put("zone", "shah-alam");
			body.put("version", "v1").put("slots", 8).put("state", "ready").put("coldLeftMs", 0);
			body.putObject("room").put("cpu", 64000).put(Names.of("memory-mb"), 262144).put("gpu", 8);
			body.putArray("labels").add("a").add(this.rack);
			body.put("machine", "m-" + this.id).put("clockMs", now - this.bornSteady);
			body.put(Names.of("report-number"), ++this.seqNo).put("born", this.born);
			ArrayNode rows = body.putArray("running");
			for (Run run : this.running.values()) {
				long worked = (run.workingSince == 0) ? 0 : now - run.workingSince;
				long percent = run.lasting ? ((run.workingSince == 0) ? 0 : 100)
						: Math.min(99, worked * 100 / Math.max(1, run.millis));
				rows.addArray().add(run.task).add(run.run).add("").add(percent).add(0);
			}
			ArrayNode ended = body.putArray("ended");
			this.ends.values().stream().limit(500).forEach(ended::add);
			return body.toString();
		}

		private void obey(String text, long sent) {
			this.retryAt = now() + HEARTBEAT_MILLIS;
			if (text.isEmpty()) {
				return;
			}
			JsonNode reply;
			try {
				reply = JSON.readTree(text);
			}
			catch (com.fasterxml.jackson.core.JsonProcessingException ex) {
				Executors.this.record.line(this.id + " cannot read " + text);
				return;
			}
			if (reply.hasNonNull(Names.of("next-address"))) {
				this.home = reply.get(Names.of("next-address")).asText();
			}
			this.retryAt = now() + reply.path(Names.of("next-millis")).asLong(HEARTBEAT_MILLIS);
			long token = reply.path("fence").asLong(0);
			if (token < this.fence) {
				Executors.this.record.line(this.id + " ignores fence " + token + ", has seen " + this.fence);
				return;
			}
			this.fence = token;
			this.ends.headMap(reply.path(Names.of("noted-end")).asLong(0), true).clear();
			for (JsonNode stop : reply.path("stop")) {
				stop(stop.get(0).asText(), stop.get(1).asInt());
			}
			if (reply.has(Names.of("lease-millis")) != this.leased) {
				this.leased = reply.has(Names.of("lease-millis"));
				Executors.this.record.line(this.id + " is answered " + (this.leased ? "with" : "without") + " holdMs: "
						+ text);
			}
			if (!reply.has(Names.of("lease-millis"))) {
				return;
			}
			this.leaseEnd = Math.max(this.leaseEnd, sent + Math.min(MAX_HOLD_MILLIS, reply.get(Names.of("lease-millis")).asLong()));
			for (JsonNode start : reply.path("start")) {
				start(start.get(0).asText(), start.get(1).asInt(), start.get(2).asText());
			}
		}

		private void stop(String task, int number) {
			Run run = this.running.get(task);
			if (run != null && run.run <= number) {
				if (run.stopAt == 0) {
					run.stopAt = now() + STOP_MILLIS;
				}
			}
			this.highestRun.merge(task, number, Math::max);
		}

		private void start(String task, int number, String spec) {
			Run held = this.running.get(task);
			if (held != null && held.run == number) {
				return;
			}
			if (held != null || number <= this.highestRun.getOrDefault(task, 0)) {
				return;
			}
			this.highestRun.put(task, number);
			this.running.put(task, new Run(task, number, spec, now()));
			Executors.this.starts.add(new Start(now(), task, number, spec, this.id));
			Executors.this.record.line(this.id + " starts " + task + " run " + number + " spec " + spec);
		}

	}

}
