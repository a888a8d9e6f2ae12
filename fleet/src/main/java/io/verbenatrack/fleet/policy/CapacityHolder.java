package io.verbenatrack.fleet.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenatrack.model.JobId;

/**
 * A job that occupies the workers for which another one waits.
 *
 * @param job the job
 * @param priority the priority of its queue
 * @param accelerators the accelerators that it occupies on these workers
 */
public record CapacityHolder(JobId job, int priority, int accelerators) {

	/** More holders would make the line of a waiting job too long. */
	private static final int MAX_LISTED = 3;

	/**
	 * Returns the jobs that occupy most of the accelerators of workers.
	 * @param workers the workers
	 * @return at most three jobs, the largest one first
	 */
	static List<CapacityHolder> largest(Collection<CandidateWorker> workers) {
		Map<JobId, CapacityHolder> holders = new HashMap<>();
		for (CandidateWorker worker : workers) {
			for (CandidateWorker.RunningTask running : worker.runningTasks()) {
				holders.merge(running.task().job(),
						new CapacityHolder(running.task().job(), running.priority(), running.room().accelerators()),
						(one, other) -> new CapacityHolder(one.job(), one.priority(),
								one.accelerators() + other.accelerators()));
			}
		}
		return holders.values()
			.stream()
			.sorted((one, other) -> Integer.compare(other.accelerators(), one.accelerators()))
			.limit(MAX_LISTED)
			.toList();
	}

	@Override
	public String toString() {
		return this.job + ":" + this.accelerators;
	}

}
