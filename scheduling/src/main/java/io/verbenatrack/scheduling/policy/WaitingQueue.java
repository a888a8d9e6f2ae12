package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.scheduling.rules.RunTimeEstimate;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Groups the waiting jobs by their requirements, so that a pass considers a few jobs of
 * each group instead of every job.
 */
final class WaitingQueue {

	private final SchedulingState state;

	private final Map<Key, Group> groups = new LinkedHashMap<>();

	private final Map<Long, Entry> entries = new HashMap<>();

	WaitingQueue(SchedulingState state) {
		this.state = state;
		state.jobs().addListener(this::update);
	}

	private void update(JobRecord job) {
		Entry present = this.entries.get(job.sequence());
		if (job.waiting() && present == null) {
			add(job);
		}
		else if (!job.waiting() && present != null) {
			remove(present);
		}
	}

	private void add(JobRecord job) {
		Duration estimate = RunTimeEstimate.total(this.state.runTimes(), job, RunTimeEstimate.MEDIAN)
			.minus(job.checkpointed());
		Entry entry = new Entry(job, Math.max(1_000, estimate.toMillis()));
		this.entries.put(job.sequence(), entry);
		this.groups.computeIfAbsent(Key.of(job), (key) -> new Group()).add(entry);
	}

	private void remove(Entry entry) {
		this.entries.remove(entry.job().sequence());
		Key key = Key.of(entry.job());
		Group group = this.groups.get(key);
		group.remove(entry);
		if (group.byAge.isEmpty()) {
			this.groups.remove(key);
		}
	}

	Collection<Group> groups() {
		return List.copyOf(this.groups.values());
	}

	Entry entry(JobRecord job) {
		return this.entries.get(job.sequence());
	}

	boolean isEmpty() {
		return this.entries.isEmpty();
	}

	// The properties that the jobs of a group share.
	record Key(AccountId account, GangShape shape, Urgency urgency, boolean failedBefore) {

		static Key of(JobRecord job) {
			return new Key(job.spec().account(), job.spec().shape(), job.spec().urgency(), !job.failures().isEmpty());
		}

	}

	/**
	 * A waiting job.
	 *
	 * @param job the job
	 * @param estimateMs the estimated remaining run time, in milliseconds
	 */
	record Entry(JobRecord job, long estimateMs) {

	}

	/**
	 * Waiting jobs with the same requirements.
	 */
	static final class Group {

		private final TreeSet<Entry> byAge = new TreeSet<>(
				Comparator.comparingLong((Entry entry) -> entry.job().sequence()));

		private final TreeSet<Entry> byEstimate = new TreeSet<>(
				Comparator.comparingLong(Entry::estimateMs).thenComparingLong((Entry entry) -> entry.job().sequence()));

		private void add(Entry entry) {
			this.byAge.add(entry);
			this.byEstimate.add(entry);
		}

		private void remove(Entry entry) {
			this.byAge.remove(entry);
			this.byEstimate.remove(entry);
		}

		boolean isEmpty() {
			return this.byAge.isEmpty();
		}

		Entry oldest() {
			return this.byAge.first();
		}

		Entry shortest() {
			return this.byEstimate.first();
		}

	}

}
