package io.verbenatrack.bench.capacity;

import java.time.Duration;
import java.util.List;

/**
 * What the capacity bench measures.
 *
 * @param workers the numbers of workers to measure at, ascending
 * @param replicas the numbers of replicas to measure at, ascending
 * @param runs how often each figure is measured
 * @param window how long each rate is measured
 * @param idleProcesses process ids of idle Java processes
 * @param instances a fresh instance for each run, none to leave them out
 */
public record CapacityOptions(List<Integer> workers, List<Integer> replicas, int runs, Duration window,
		List<Long> idleProcesses, List<ServedInstance> instances) {

	/** The sizes of the page, with windows that fit into five minutes. */
	public static final CapacityOptions STANDARD = new CapacityOptions(List.of(120, 480, 990), List.of(1, 3, 5, 7), 3,
			Duration.ofSeconds(5), List.of(), List.of());

	public CapacityOptions {
		workers = List.copyOf(workers);
		replicas = List.copyOf(replicas);
		idleProcesses = List.copyOf(idleProcesses);
		instances = List.copyOf(instances);
		if (workers.isEmpty() || replicas.isEmpty() || runs < 1) {
			throw new IllegalArgumentException(
					"The capacity bench has nothing to run. Give a number of workers, of replicas and of runs.");
		}
	}

	CapacityOptions with(Duration length, List<Long> idle, List<ServedInstance> served) {
		return new CapacityOptions(this.workers, this.replicas, this.runs, length, idle, served);
	}

}
