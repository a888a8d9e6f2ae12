package io.verbenatrack.bench.capacity;

import java.time.Duration;
import java.util.List;

/**
 * Options of the capacity bench.
 *
 * @param workers the worker counts to measure, in ascending order
 * @param replicas the replica counts to measure, in ascending order
 * @param runs the number of runs of each measurement
 * @param window the duration of each rate measurement
 * @param idleProcesses the process ids of idle Java processes
 * @param instances the instances to measure, each freshly started; if empty, instance
 * measurements are skipped
 */
public record CapacityOptions(List<Integer> workers, List<Integer> replicas, int runs, Duration window,
		List<Long> idleProcesses, List<InstanceProcess> instances) {

	/** The sizes reported in docs/CAPACITY.md. The run takes up to five minutes. */
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

	CapacityOptions with(Duration length, List<Long> idle, List<InstanceProcess> served) {
		return new CapacityOptions(this.workers, this.replicas, this.runs, length, idle, served);
	}

}
