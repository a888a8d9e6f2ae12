package io.verbenatrack.scheduling.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.scheduling.JobSnapshot;

/**
 * All retained jobs, with indexes of those that wait, hold accelerators, are in
 * transition or have ended.
 */
public final class JobTable {

	private static final Comparator<JobRecord> OLDEST_OUTCOME_FIRST = Comparator
		.comparing((JobRecord job) -> job.outcome().orElseThrow().at())
		.thenComparingLong(JobRecord::sequence);

	private final Map<JobId, JobRecord> byId = new LinkedHashMap<>();

	private final TreeMap<Long, JobRecord> waiting = new TreeMap<>();

	private final TreeMap<Long, JobRecord> inTransition = new TreeMap<>();

	private final TreeMap<Long, JobRecord> holding = new TreeMap<>();

	private final NavigableSet<JobRecord> ended = new TreeSet<>(OLDEST_OUTCOME_FIRST);

	private final List<JobListener> listeners = new ArrayList<>();

	private long sequence;

	/**
	 * Registers a listener that is called after each change of a job.
	 * @param listener the listener
	 */
	public void addListener(JobListener listener) {
		this.listeners.add(listener);
	}

	JobRecord accept(JobSpec spec, Instant at) {
		this.sequence++;
		JobRecord job = new JobRecord(spec, at, this.sequence);
		this.byId.put(spec.id(), job);
		reindex(job);
		return job;
	}

	void reindex(JobRecord job) {
		setPresent(this.waiting, job, job.waiting());
		setPresent(this.holding, job, job.lease().isPresent());
		setPresent(this.inTransition, job, job.lease().isPresent() && !job.running());
		this.listeners.forEach((listener) -> listener.jobChanged(job));
	}

	private static void setPresent(Map<Long, JobRecord> jobs, JobRecord job, boolean present) {
		if (present) {
			jobs.put(job.sequence(), job);
		}
		else {
			jobs.remove(job.sequence());
		}
	}

	void recordEnded(JobRecord job) {
		reindex(job);
		this.ended.add(job);
	}

	JobRecord restore(JobSnapshot snapshot) {
		JobRecord job = new JobRecord(snapshot);
		this.byId.put(job.id(), job);
		this.sequence = Math.max(this.sequence, job.sequence());
		reindex(job);
		if (job.outcome().isPresent()) {
			this.ended.add(job);
		}
		return job;
	}

	void remove(List<JobId> jobs) {
		for (JobId id : jobs) {
			JobRecord job = this.byId.remove(id);
			if (job != null) {
				this.ended.remove(job);
			}
		}
	}

	/**
	 * Returns the oldest ended jobs that exceed a limit.
	 * @param limit the number of ended jobs to retain
	 * @return the jobs with the oldest outcomes, empty when the limit is not exceeded
	 */
	public List<JobId> endedBeyond(int limit) {
		int excess = this.ended.size() - limit;
		if (excess <= 0) {
			return List.of();
		}
		return this.ended.stream().limit(excess).map(JobRecord::id).toList();
	}

	JobRecord require(JobId id) {
		JobRecord job = this.byId.get(id);
		if (job == null) {
			throw new IllegalStateException(
					"Job " + id + " is not known. Apply the decisions in the order of the log.");
		}
		return job;
	}

	/**
	 * Finds a job.
	 * @param id the job
	 * @return its record, empty when the job is unknown or no longer retained
	 */
	public Optional<JobRecord> job(JobId id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Returns every retained job.
	 * @return the jobs in order of acceptance
	 */
	public Collection<JobRecord> all() {
		return Collections.unmodifiableCollection(this.byId.values());
	}

	/**
	 * Returns the jobs that wait for accelerators.
	 * @return the jobs in order of acceptance
	 */
	public Collection<JobRecord> waiting() {
		return Collections.unmodifiableCollection(this.waiting.values());
	}

	/**
	 * Returns the jobs that hold accelerators.
	 * @return the jobs in order of acceptance
	 */
	public Collection<JobRecord> holding() {
		return Collections.unmodifiableCollection(this.holding.values());
	}

	/**
	 * Returns the jobs whose workers have not yet answered: those that are preparing,
	 * checkpointing or stopping.
	 * @return the jobs in order of acceptance
	 */
	public Collection<JobRecord> inTransition() {
		return Collections.unmodifiableCollection(this.inTransition.values());
	}

}
