package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenatrack.model.JobId;

/**
 * Decides which waiting jobs are logged in a pass: each one again after a while, those
 * first that were not logged for longest.
 */
final class WaitLog {

	private static final long REPEAT_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

	/** Larger numbers of lines would displace other lines of the log. */
	private static final int MAX_LINES_PER_WINDOW = 50;

	private final Map<JobId, Entry> entries = new HashMap<>();

	private final Set<JobId> waiting = new HashSet<>();

	private Set<JobId> due = Set.of();

	private long windowStartNanos;

	private int lines;

	/**
	 * Begins a pass.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void beginPass(long nowNanos) {
		this.waiting.clear();
		if (nowNanos - this.windowStartNanos >= WINDOW_NANOS) {
			this.windowStartNanos = nowNanos;
			this.lines = 0;
		}
		this.due = this.entries.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().nextNanos() >= 0)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().nextNanos() - nowNanos))
			.limit(MAX_LINES_PER_WINDOW - this.lines)
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(HashSet::new));
	}

	/**
	 * Records that a job waits, and returns whether to log it now. A job is logged in the
	 * second pass in which it waits, as most jobs wait for one pass only.
	 * @param job the job
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return whether to log the job, at most once in a pass
	 */
	boolean recordWaiting(JobId job, long nowNanos) {
		this.waiting.add(job);
		Entry entry = this.entries.computeIfAbsent(job, (added) -> new Entry(nowNanos, nowNanos));
		if (!this.due.remove(job)) {
			return false;
		}
		this.lines++;
		this.entries.put(job, new Entry(entry.sinceNanos(), nowNanos + REPEAT_NANOS));
		return true;
	}

	/** Ends a pass, and forgets the jobs that no longer wait. */
	void endPass() {
		this.entries.keySet().retainAll(this.waiting);
	}

	/**
	 * Returns how long a job has been waiting without interruption.
	 * @param job the job
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time, zero if the job does not wait
	 */
	Duration waited(JobId job, long nowNanos) {
		Entry entry = this.entries.get(job);
		return (entry != null) ? Duration.ofNanos(nowNanos - entry.sinceNanos()) : Duration.ZERO;
	}

	/**
	 * A waiting job.
	 *
	 * @param sinceNanos the start of its wait in nanoseconds of the monotonic clock
	 * @param nextNanos when it is logged next
	 */
	private record Entry(long sinceNanos, long nextNanos) {

	}

}
