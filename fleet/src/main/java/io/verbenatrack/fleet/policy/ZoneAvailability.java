package io.verbenatrack.fleet.policy;

import java.util.HashSet;
import java.util.Set;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.ZoneId;

/**
 * Tells which workers may not begin tasks, as an operator evacuates their availability
 * zone. The zone of a worker is that of its latest report, so that nothing is known of a
 * worker before it reports to this leader; until then it gets no starts either.
 */
final class ZoneAvailability {

	private final FleetState state;

	private final WorkerRegistry registry;

	ZoneAvailability(FleetState state, WorkerRegistry registry) {
		this.state = state;
		this.registry = registry;
	}

	boolean evacuated(TrackedWorker worker) {
		return this.state.evacuations().evacuated(worker.report().zone());
	}

	boolean evacuated(WorkerIncarnation incarnation) {
		return this.registry.worker(incarnation).filter(this::evacuated).isPresent();
	}

	/**
	 * Returns why a start that no response has carried is withdrawn.
	 * @param incarnation the incarnation of its worker
	 * @return the cause
	 */
	LossCause unsentCause(WorkerIncarnation incarnation) {
		return evacuated(incarnation) ? LossCause.ZONE_EVACUATED : LossCause.START_NOT_SENT;
	}

	/**
	 * Returns whether a start may no longer be sent to its worker. A run that the worker
	 * lists has begun and continues; so may one that a full list of ends lacks.
	 * @param worker the worker
	 * @param task the task
	 * @param run the run number
	 * @return whether the zone of the worker is evacuated and the worker does not have
	 * the run
	 */
	boolean preventsStart(TrackedWorker worker, TaskId task, int run) {
		return evacuated(worker) && !worker.reportsRunning(task, run) && FleetScheduler.listsAllEnds(worker.report());
	}

	/**
	 * Returns whether a worker of a zone has reported to this leader.
	 * @param zone the zone
	 * @return whether the latest report of any worker names the zone
	 */
	boolean hasWorkers(ZoneId zone) {
		return this.registry.workers().stream().anyMatch((worker) -> worker.report().zone().equals(zone));
	}

	/**
	 * Returns the racks on which nothing starts. A step does not wait for one of them.
	 * @return the racks that have workers in evacuated zones and in no other zone
	 */
	Set<String> closedRacks() {
		Set<String> closed = new HashSet<>();
		if (this.state.evacuations().evacuated().isEmpty()) {
			return closed;
		}
		Set<String> open = new HashSet<>();
		for (TrackedWorker worker : this.registry.workers()) {
			(evacuated(worker) ? closed : open).add(worker.report().rack());
		}
		closed.removeAll(open);
		return closed;
	}

}
