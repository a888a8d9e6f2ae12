package secondreview;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A sound executor. It reports itself, carries out the orders in the answers under their lease, and lists the ends of
 * its runs until they are taken note of. How long a task works and how it ends is told by the {@link World}.
 */
final class SoundExecutor implements AutoCloseable {

	private static final int RESPONSE_MILLIS = 1000;

	/** An answer that is larger doesn't acknowledge a heartbeat. */
	private static final int MAX_RESPONSE_BYTES = 4 << 20;

	private static final int STOP_MILLIS = 100;

	private static final int GANG_TIMEOUT_MILLIS = 3000;

	private final CaseRun run;

	private final World world;

	final String id;

	final String address;

	/** By the clock of its machine. */
	final long born;

	private final long startNanos = System.nanoTime();

	private final Map<String, Task> running = new LinkedHashMap<>();

	private final Map<String, Integer> highestEnded = new LinkedHashMap<>();

	private final List<Object[]> ended = new ArrayList<>();

	private final Thread beats;

	private final Thread work;

	private volatile boolean closed;

	private long seqNo;

	private long ends;

	private long fence;

	private long leaseEndNanos;

	private String heartbeatAddress;

	private int nextReplica;

	private volatile boolean endSinceBeat;

	SoundExecutor(CaseRun run, World world, String id, int machine) {
		this(run, world, id, machine, 0);
	}

	SoundExecutor(CaseRun run, World world, String id, int machine, long clockAheadMillis) {
		this.born = System.currentTimeMillis() + clockAheadMillis;
		this.run = run;
		this.world = world;
		this.id = id;
		this.address = run.ip(machine) + ":8080";
		this.beats = new Thread(this::beat, id + "-beats");
		this.work = new Thread(this::work, id + "-work");
		this.beats.setDaemon(true);
		this.work.setDaemon(true);
		run.register(this);
	}

	SoundExecutor start() {
		this.beats.start();
		this.work.start();
		return this;
	}

	private static final class Task {

		final String name;

		final int number;

		final long startNanos = System.nanoTime();

		String spec;

		long stopNanos;

		Task(String name, int number, String spec) {
			this.name = name;
			this.number = number;
			this.spec = spec;
		}

	}

	synchronized boolean works(String task) {
		return this.running.containsKey(task);
	}

	synchronized boolean idle() {
		return this.running.isEmpty();
	}

	private void beat() {
		while (!this.closed) {
			long sent = System.nanoTime();
			this.endSinceBeat = false;
			String body = report();
			String target = (this.heartbeatAddress != null) ? this.heartbeatAddress
					: this.run.control(1 + this.nextReplica++ % 3);
			CaseRun.Response response = this.run.follow(target, "PUT", CaseRun.wire("executors-path") + this.id, Map.of(),
					body, RESPONSE_MILLIS);
			long waitMillis = 200;
			if (response == null || response.status != 200 || System.nanoTime() - sent > TimeUnit.SECONDS.toNanos(1)) {
				if (response != null && response.status >= 400 && response.status < 500) {
					this.run.record(this.id, "heartbeat refused with " + response.status + " " + response.body);
				}
				this.heartbeatAddress = null;
			}
			else if (response.body.length() > MAX_RESPONSE_BYTES) {
				this.run.record(this.id, "drops an answer of " + response.body.length() + " bytes");
				this.heartbeatAddress = null;
			}
			else {
				waitMillis = obey(Json.object(response.body), sent);
			}
			long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
			while (!this.closed && System.nanoTime() < until) {
				sleep(this.endSinceBeat ? 50 : 10);
				if (this.endSinceBeat) {
					break;
				}
			}
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** The next heartbeat. */
	synchronized String report() {
		List<String> runs = new ArrayList<>();
		for (Task task : this.running.values()) {
			runs.add("[" + Json.quote(task.name) + "," + task.number + ",\"\"," + this.world.percent(task.name, task.startNanos)
					+ "]");
		}
		List<String> rows = new ArrayList<>();
		for (Object[] end : this.ended) {
			rows.add("[" + end[0] + "," + Json.quote((String) end[1]) + "," + end[2] + ",\"" + end[3] + "\",\"\"]");
		}
		return "{\"service\":\"" + CaseRun.SERVICE + "\",\"address\":\"" + this.address
				+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
				+ "\"room\":{\"cpu\":64000,\"memMb\":262144,\"gpu\":8},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":"
				+ TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos) + ",\"born\":" + this.born
				+ ",\"seqNo\":" + (++this.seqNo) + ",\"running\":[" + String.join(",", runs) + "],\"ended\":["
				+ String.join(",", rows) + "]}";
	}

	private synchronized long obey(Map<String, Object> orders, long sentNanos) {
		Object next = orders.get(CaseRun.wire("next-address"));
		this.heartbeatAddress = (next instanceof String text && !text.isEmpty()) ? text : null;
		long retryMillis = Json.number(orders, CaseRun.wire("next-millis"), 1500);
		long sentFence = Json.number(orders, "fence", 0);
		if (sentFence < this.fence) {
			return retryMillis;
		}
		this.fence = sentFence;
		long lastSeen = Json.number(orders, CaseRun.wire("noted-end"), 0);
		this.ended.removeIf((end) -> {
			boolean noted = (Long) end[0] <= lastSeen;
			if (noted) {
				this.run.record(this.id, "end " + end[0] + " (" + end[1] + " run " + end[2] + " " + end[3]
						+ ") is taken note of");
			}
			return noted;
		});
		for (List<Object> stop : Json.rows(orders, "stop")) {
			stop((String) stop.get(0), ((Double) stop.get(1)).intValue());
		}
		long holdMillis = Json.number(orders, CaseRun.wire("lease-millis"), 0);
		if (holdMillis <= 0) {
			return retryMillis;
		}
		this.leaseEndNanos = Math.max(this.leaseEndNanos,
				sentNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(holdMillis, 6000)));
		for (List<Object> start : Json.rows(orders, "start")) {
			start((String) start.get(0), ((Double) start.get(1)).intValue(), (String) start.get(2));
		}
		return retryMillis;
	}

	private void stop(String name, int number) {
		Task task = this.running.get(name);
		if (task != null && task.number == number && task.stopNanos == 0) {
			this.run.record(this.id, "is told to stop " + name + " run " + number);
			task.stopNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_MILLIS);
		}
		else if (task == null && this.highestEnded.getOrDefault(name, 0) < number) {
			this.highestEnded.put(name, number);
		}
	}

	private void start(String name, int number, String spec) {
		if (this.running.containsKey(name)) {
			return;
		}
		if (number <= this.highestEnded.getOrDefault(name, 0)) {
			return;
		}
		this.run.record(this.id, "starts " + name + " run " + number);
		this.running.put(name, new Task(name, number, spec));
		this.world.started(this.id, name, number);
	}

	private void work() {
		while (!this.closed) {
			sleep(10);
			synchronized (this) {
				long now = System.nanoTime();
				for (Task task : new ArrayList<>(this.running.values())) {
					String how = null;
					if (now - this.leaseEndNanos > 0) {
						how = "lapsed";
					}
					else if (task.stopNanos != 0 && now - task.stopNanos >= 0) {
						how = "stopped";
					}
					else if (task.stopNanos == 0) {
						how = this.world.end(task.name, task.number, task.startNanos, GANG_TIMEOUT_MILLIS);
					}
					if (how != null) {
						end(task, how);
					}
				}
			}
		}
	}

	private void end(Task task, String how) {
		this.run.record(this.id, "ends " + task.name + " run " + task.number + " " + how);
		this.running.remove(task.name);
		this.highestEnded.put(task.name, task.number);
		this.ended.add(new Object[] { ++this.ends, task.name, task.number, how });
		this.world.ended(this.id, task.name, task.number, how);
		this.endSinceBeat = true;
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
