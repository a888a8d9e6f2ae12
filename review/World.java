package secondreview;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The work of the tasks, and the runs as their executors carried them out. The jobs of one world have tasks of equal
 * length; the members of a gang work from the moment when all of one run are present, and end together.
 */
final class World {

	private final long workMillis;

	private final int gangSize;

	/** The numbers of the runs that fail, after their work time. */
	private final int failingRuns;

	/** Whether the tasks last until they are stopped. */
	private final boolean lasting;

	private final Map<String, Map<Integer, GangRun>> gangs = new HashMap<>();

	/** Runs in progress, by task: the executors on which they run. */
	private final Map<String, List<String>> present = new LinkedHashMap<>();

	private final List<String> doubled = new ArrayList<>();

	private final Map<String, Integer> starts = new LinkedHashMap<>();

	World(long workMillis, int gangSize, int failingRuns, boolean lasting) {
		this.workMillis = workMillis;
		this.gangSize = gangSize;
		this.failingRuns = failingRuns;
		this.lasting = lasting;
	}

	private static final class GangRun {

		final Map<String, Long> members = new HashMap<>();

		long sinceNanos;

		String ended;

	}

	private static String gang(String task) {
		return task.substring(0, task.lastIndexOf('.'));
	}

	synchronized void started(String executor, String task, int run) {
		List<String> on = this.present.computeIfAbsent(task, (name) -> new ArrayList<>());
		if (!on.isEmpty()) {
			this.doubled.add(task + " run " + run + " starts on " + executor + " while it runs on " + on);
		}
		on.add(executor);
		this.starts.merge(task, 1, Integer::sum);
		if (this.gangSize > 1) {
			GangRun gangRun = this.gangs.computeIfAbsent(gang(task), (name) -> new HashMap<>())
				.computeIfAbsent(run, (number) -> new GangRun());
			gangRun.members.put(task, System.nanoTime());
			if (gangRun.members.size() == this.gangSize && gangRun.sinceNanos == 0) {
				gangRun.sinceNanos = System.nanoTime();
			}
		}
	}

	synchronized void ended(String executor, String task, int run, String how) {
		this.present.getOrDefault(task, new ArrayList<>()).remove(executor);
		if (this.gangSize > 1) {
			GangRun gangRun = this.gangs.get(gang(task)).get(run);
			if (gangRun.ended == null) {
				gangRun.ended = how;
			}
		}
	}

	/** How a run ends now, or null while it goes on. */
	synchronized String end(String task, int run, long startNanos, int gangTimeoutMillis) {
		long now = System.nanoTime();
		long since = startNanos;
		if (this.gangSize > 1) {
			GangRun gangRun = this.gangs.get(gang(task)).get(run);
			if (gangRun.ended != null) {
				return gangRun.ended.equals("done") ? "done" : "broken";
			}
			if (gangRun.sinceNanos == 0) {
				return (now - startNanos > TimeUnit.MILLISECONDS.toNanos(gangTimeoutMillis)) ? "alone" : null;
			}
			since = gangRun.sinceNanos;
		}
		if (now - since < TimeUnit.MILLISECONDS.toNanos(this.workMillis)) {
			return null;
		}
		String how = (run <= this.failingRuns) ? "failed" : this.lasting ? null : "done";
		if (how != null && this.gangSize > 1) {
			this.gangs.get(gang(task)).get(run).ended = how;
		}
		return how;
	}

	int percent(String task, long startNanos) {
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		return this.lasting ? 100 : (int) Math.min(99, millis * 100 / Math.max(1, this.workMillis));
	}

	synchronized List<String> doubled() {
		return new ArrayList<>(this.doubled);
	}

	synchronized int starts(String task) {
		return this.starts.getOrDefault(task, 0);
	}

	synchronized int startsOfJob(String job) {
		return this.starts.entrySet().stream().filter((entry) -> entry.getKey().startsWith(job + "."))
			.mapToInt(Map.Entry::getValue).sum();
	}

	synchronized int runningOfJob(String job) {
		return this.present.entrySet().stream().filter((entry) -> entry.getKey().startsWith(job + "."))
			.mapToInt((entry) -> entry.getValue().size()).sum();
	}

}
