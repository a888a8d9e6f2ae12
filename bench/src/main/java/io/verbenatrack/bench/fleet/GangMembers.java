package io.verbenatrack.bench.fleet;

import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.model.JobId;

/**
 * Tracks which workers run members of a gang.
 */
final class GangMembers {

	private final Map<GangRun, Map<SimulatedWorker, Integer>> workers = new HashMap<>();

	void add(SimulatedRun run, SimulatedWorker worker) {
		this.workers.computeIfAbsent(GangRun.of(run), (gang) -> new HashMap<>()).merge(worker, 1, Integer::sum);
	}

	void remove(SimulatedRun run, SimulatedWorker worker) {
		this.workers.computeIfPresent(GangRun.of(run), (gang, counts) -> {
			counts.computeIfPresent(worker, (known, count) -> (count > 1) ? count - 1 : null);
			return counts.isEmpty() ? null : counts;
		});
	}

	int count(GangRun gang) {
		return this.workers.getOrDefault(gang, Map.of()).values().stream().mapToInt(Integer::intValue).sum();
	}

	boolean spreadOverRacks(GangRun gang) {
		return this.workers.getOrDefault(gang, Map.of())
			.keySet()
			.stream()
			.map(SimulatedWorker::rack)
			.distinct()
			.count() > 1;
	}

	/**
	 * A run of a gang. The members of a gang share their run number.
	 *
	 * @param job the job
	 * @param run the run number
	 */
	record GangRun(JobId job, int run) {

		static GangRun of(SimulatedRun run) {
			return new GangRun(run.task.job(), run.run);
		}

	}

}
