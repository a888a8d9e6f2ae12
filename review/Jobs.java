package review;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What executors know of the tasks: their work, their room and their gangs. */
final class Jobs {

	/** A step of a submitted job. */
	record Step(int count, long cpu, long memMb, int gpu, boolean gang, boolean lasts, long workMs,
			int perExecutor) {

		Step(int count, long cpu, long memMb, int gpu, boolean gang, boolean lasts, long workMs) {
			this(count, cpu, memMb, gpu, gang, lasts, workMs, 0);
		}

	}

	private final Map<String, Step> steps = new ConcurrentHashMap<>();

	private final Map<String, Gang> gangs = new HashMap<>();

	void add(String job, int step, Step spec) {
		this.steps.put(job + "." + step, spec);
	}

	/** Returns the step of a task that is named ID.K.STEP.INDEX. */
	Step of(String task) {
		String[] parts = task.split("\\.");
		return this.steps.get(parts[0] + "." + parts[2]);
	}

	/** One run of a gang. */
	static final class Gang {

		private final Set<String> present = new HashSet<>();

		private final int count;

		private long completeNanos;

		private boolean broken;

		private Gang(int count) {
			this.count = count;
		}

		synchronized void join(String task) {
			this.present.add(task);
			if (this.present.size() == this.count && this.completeNanos == 0) {
				this.completeNanos = System.nanoTime();
			}
		}

		synchronized void breakUp() {
			this.broken = true;
		}

		synchronized boolean broken() {
			return this.broken;
		}

		/** Returns when all members were present, 0 before. */
		synchronized long completeNanos() {
			return this.completeNanos;
		}

	}

	synchronized Gang gang(String task, int run) {
		String unit = task.substring(0, task.lastIndexOf('.')) + "/" + run;
		return this.gangs.computeIfAbsent(unit, (key) -> new Gang(of(task).count()));
	}

}
