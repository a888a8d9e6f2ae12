package io.verbenatrack.fleet.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.ServiceId;

/**
 * The runs on each incarnation of a worker, and the service for which the incarnation
 * works. Not thread-safe.
 *
 * <p>
 * The service is recorded with the first run, as a later configuration may route the
 * queue of the job elsewhere or lack the service. It is forgotten with the last run.
 */
final class WorkerRuns {

	private final Map<WorkerIncarnation, Map<TaskId, Integer>> runs = new HashMap<>();

	private final Map<WorkerIncarnation, ServiceId> services = new HashMap<>();

	void add(WorkerIncarnation incarnation, TaskId task, int run) {
		this.runs.computeIfAbsent(incarnation, (added) -> new LinkedHashMap<>()).put(task, run);
	}

	// An incarnation keeps its service for life.
	void recordService(WorkerIncarnation incarnation, ServiceId service) {
		if (this.runs.containsKey(incarnation)) {
			this.services.putIfAbsent(incarnation, service);
		}
	}

	void remove(WorkerIncarnation incarnation, TaskId task) {
		Map<TaskId, Integer> remaining = this.runs.get(incarnation);
		if (remaining != null && remaining.remove(task) != null && remaining.isEmpty()) {
			this.runs.remove(incarnation);
			this.services.remove(incarnation);
		}
	}

	Map<TaskId, Integer> on(WorkerIncarnation incarnation) {
		return this.runs.getOrDefault(incarnation, Map.of());
	}

	Set<WorkerIncarnation> incarnations() {
		return this.runs.keySet();
	}

	Optional<ServiceId> service(WorkerIncarnation incarnation) {
		return Optional.ofNullable(this.services.get(incarnation));
	}

	void clear() {
		this.runs.clear();
		this.services.clear();
	}

	List<WorkerService> serviceRecords() {
		return this.services.entrySet()
			.stream()
			.map((entry) -> new WorkerService(entry.getKey(), entry.getValue()))
			.toList();
	}

	/**
	 * The service of a worker in a snapshot.
	 *
	 * @param life the incarnation of the worker
	 * @param service the service for which it works
	 */
	record WorkerService(WorkerIncarnation life, ServiceId service) {

	}

}
