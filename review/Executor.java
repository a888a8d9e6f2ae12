package review;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A sound executor that takes its orders from the answers to its heartbeats. It guards
 * its room, keeps the highest fencing token, and kills all runs when its lease ends.
 */
final class Executor implements AutoCloseable {

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

	private static final long HOLD_MAX_MS = 6000;

	private static final long GANG_TIMEOUT_MS = 3000;

	private static final long AFTER_END_MS = 50;

	private static final long NANOS_PER_MS = 1_000_000;

	private static final int MAX_LISTED_ENDS = 500;

	final String id;

	final long born;

	private final String service;

	private final String address;

	private final String kind;

	private final String rack;

	private volatile List<String> controls;

	private final Jobs jobs;

	private final Http http;

	private final Recorder recorder;

	private final Faults faults;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final Map<String, Integer> highestEnded = new HashMap<>();

	private final List<End> ended = new ArrayList<>();

	/** Every run that began here, for the checks. */
	private final List<Run> history = new ArrayList<>();

	private final Thread beats;

	private final Thread work;

	private volatile boolean closed;

	private String beatAddress;

	private int nextControl;

	private long sequence;

	private long endNumber;

	private long highestFence;

	private long leaseEndNanos;

	private long retryMs = 200;

	/** Decides which runs fail by a fault of their executor. */
	interface Faults {

		/** Returns after how many milliseconds of work a run fails, or -1. */
		long failsAfterMs(String executor, String task, int run);

	}

	/** A run of a task. */
	static final class Run {

		final String executor;

		final String task;

		final int number;

		final long startedNanos = System.nanoTime();

		final double startedSeconds;

		volatile double endedSeconds = -1;

		volatile String how = "";

		private Run(String executor, String task, int number, double startedSeconds) {
			this.executor = executor;
			this.task = task;
			this.number = number;
			this.startedSeconds = startedSeconds;
		}

	}

	private record End(long number, String task, int run, String how) {

	}

	Executor(String id, String service, String address, String kind, String rack, List<String> controls, Jobs jobs,
			Http http, Recorder recorder, Faults faults) {
		this.id = id;
		this.born = System.currentTimeMillis();
		this.service = service;
		this.address = address;
		this.kind = kind;
		this.rack = rack;
		this.controls = controls;
		this.jobs = jobs;
		this.http = http;
		this.recorder = recorder;
		this.faults = faults;
		this.nextControl = Math.floorMod(id.hashCode(), controls.size());
		this.beats = Thread.ofPlatform().name("beats-" + id).daemon().start(this::beat);
		this.work = Thread.ofPlatform().name("work-" + id).daemon().start(this::work);
	}

	/** Replaces the addresses from the platform's list. */
	void controls(List<String> addresses) {
		this.controls = List.copyOf(addresses);
	}

	String address() {
		return this.address;
	}

	/** Returns copies of all runs that began here. */
	synchronized List<Run> history() {
		return List.copyOf(this.history);
	}

	private void beat() {
		try {
			while (!this.closed) {
				String target = (this.beatAddress != null) ? this.beatAddress
						: this.controls.get(this.nextControl++ % this.controls.size());
				String body = report();
				long sentNanos = System.nanoTime();
				Http.Answer answer = this.http.call("PUT", target, Wire.INSTANCES_PATH + this.id,
						Map.of("Content-Type", "application/json"), body, ANSWER_TIMEOUT);
				boolean inTime = System.nanoTime() - sentNanos < ANSWER_TIMEOUT.toNanos();
				if (answer.success() && inTime && !this.closed) {
					obey(answer.body(), sentNanos);
				}
				else {
					this.beatAddress = null;
				}
				pause();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (java.io.IOException ex) {
			this.recorder.write(this.id + " cannot read an answer: " + ex);
		}
	}

	private synchronized void pause() throws InterruptedException {
		long endNanos = System.nanoTime() + this.retryMs * NANOS_PER_MS;
		long endsBefore = this.endNumber;
		while (System.nanoTime() < endNanos && !this.closed) {
			wait(10);
			if (this.endNumber > endsBefore) {
				wait(AFTER_END_MS);
				return;
			}
		}
	}

	private synchronized String report() {
		ObjectNode body = Deployment.JSON.createObjectNode();
		body.put("service", this.service).put("address", this.address).put("zone", "zone-1").put("version", "v1");
		body.put("slots", 8).put("state", "ready").put("coldLeftMs", 0).put("born", this.born);
		body.putObject("room").put("cpu", 64000).put(Wire.MEMORY_MB, 262144).put("gpu", 8);
		body.putArray("labels").add(this.kind).add(this.rack);
		body.put("clockMs", System.nanoTime() / NANOS_PER_MS).put(Wire.SEQUENCE_NUMBER, ++this.sequence);
		ArrayNode runningRows = body.putArray("running");
		this.running.values().forEach((run) -> runningRows.addArray().add(run.task).add(run.number).add("")
			.add(percent(run)));
		ArrayNode endedRows = body.putArray("ended");
		this.ended.stream()
			.limit(MAX_LISTED_ENDS)
			.forEach((end) -> endedRows.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(""));
		return body.toString();
	}

	private int percent(Run run) {
		Jobs.Step step = this.jobs.of(run.task);
		if (step.lasts()) {
			return workedMs(run, step) >= 0 ? 100 : 0;
		}
		return (int) Math.clamp(workedMs(run, step) * 100 / Math.max(1, step.workMs()), 0, 99);
	}

	// How long a run has worked, or -1 while its gang is not complete.
	private long workedMs(Run run, Jobs.Step step) {
		long fromNanos = step.gang() ? this.jobs.gang(run.task, run.number).completeNanos() : run.startedNanos;
		return (fromNanos == 0) ? -1 : (System.nanoTime() - fromNanos) / NANOS_PER_MS;
	}

	private synchronized void obey(String answer, long sentNanos) throws java.io.IOException {
		JsonNode orders = Deployment.JSON.readTree(answer);
		if (orders.hasNonNull(Wire.HEARTBEAT_ADDRESS)) {
			this.beatAddress = orders.get(Wire.HEARTBEAT_ADDRESS).textValue();
		}
		this.retryMs = orders.path(Wire.RETRY_MILLIS).asLong(1500);
		long fence = orders.path("fence").asLong(0);
		if (fence < this.highestFence) {
			return;
		}
		this.highestFence = fence;
		long lastSeen = orders.path(Wire.RECORDED_ENDS).asLong(0);
		this.ended.removeIf((end) -> end.number <= lastSeen);
		for (JsonNode stop : orders.path("stop")) {
			stop(stop.get(0).textValue(), stop.get(1).intValue());
		}
		if (!orders.hasNonNull(Wire.LEASE_MILLIS)) {
			return;
		}
		long holdMs = Math.min(HOLD_MAX_MS, orders.get(Wire.LEASE_MILLIS).longValue());
		this.leaseEndNanos = Math.max(this.leaseEndNanos, sentNanos + holdMs * NANOS_PER_MS);
		for (JsonNode start : orders.path("start")) {
			start(start.get(0).textValue(), start.get(1).intValue());
		}
	}

	private void stop(String task, int run) {
		Run present = this.running.get(task);
		if (present != null && present.number == run) {
			end(present, "stopped");
		}
		this.highestEnded.merge(task, run, Math::max);
	}

	private void start(String task, int number) {
		Run present = this.running.get(task);
		if (present != null && present.number == number) {
			return;
		}
		Jobs.Step step = this.jobs.of(task);
		if (present != null || step == null || number <= this.highestEnded.getOrDefault(task, 0) || !fits(step)) {
			this.recorder.write(this.id + " rejects run " + number + " of " + task);
			this.ended.add(new End(++this.endNumber, task, number, "refused"));
			return;
		}
		Run run = new Run(this.id, task, number, this.recorder.seconds());
		this.running.put(task, run);
		this.history.add(run);
		this.recorder.write(this.id + " starts run " + number + " of " + task);
		if (step.gang()) {
			this.jobs.gang(task, number).join(task);
		}
	}

	private boolean fits(Jobs.Step step) {
		long cpu = step.cpu();
		long memMb = step.memMb();
		int gpu = step.gpu();
		for (String task : this.running.keySet()) {
			Jobs.Step other = this.jobs.of(task);
			cpu += other.cpu();
			memMb += other.memMb();
			gpu += other.gpu();
		}
		return cpu <= 64000 && memMb <= 262144 && gpu <= 8;
	}

	private void end(Run run, String how) {
		this.running.remove(run.task);
		run.how = how;
		run.endedSeconds = this.recorder.seconds();
		this.highestEnded.merge(run.task, run.number, Math::max);
		this.ended.add(new End(++this.endNumber, run.task, run.number, how));
		this.recorder.write(this.id + " ends run " + run.number + " of " + run.task + ": " + how);
		Jobs.Step step = this.jobs.of(run.task);
		if (step.gang() && !how.equals("done")) {
			this.jobs.gang(run.task, run.number).breakUp();
		}
		notifyAll();
	}

	private void work() {
		try {
			while (!this.closed) {
				workOnce();
				Thread.sleep(10);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void workOnce() {
		boolean lapsed = System.nanoTime() > this.leaseEndNanos;
		for (Iterator<Run> runs = List.copyOf(this.running.values()).iterator(); runs.hasNext();) {
			Run run = runs.next();
			Jobs.Step step = this.jobs.of(run.task);
			long workedMs = workedMs(run, step);
			long failsAfterMs = this.faults.failsAfterMs(this.id, run.task, run.number);
			if (lapsed) {
				end(run, "lapsed");
			}
			else if (step.gang() && this.jobs.gang(run.task, run.number).broken()) {
				end(run, "broken");
			}
			else if (workedMs < 0) {
				if ((System.nanoTime() - run.startedNanos) / NANOS_PER_MS > GANG_TIMEOUT_MS) {
					end(run, "alone");
				}
			}
			else if (failsAfterMs >= 0 && workedMs >= failsAfterMs) {
				end(run, "failed");
			}
			else if (!step.lasts() && workedMs >= step.workMs()) {
				end(run, "done");
			}
		}
	}

	/** Ends without a word: runs and ends are gone, and nothing is sent any more. */
	void crash() {
		this.closed = true;
		this.beats.interrupt();
		this.work.interrupt();
		synchronized (this) {
			this.recorder.write(this.id + " crashes");
			this.running.values().forEach((run) -> {
				run.how = "crashed";
				run.endedSeconds = this.recorder.seconds();
			});
			this.running.clear();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.beats.interrupt();
		this.work.interrupt();
	}

}
