package io.verbenatrack.fleet.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.ZoneId;

/**
 * Tells which workers may not begin tasks: those in availability zones that an operator
 * evacuates, and those whose service the configuration in force lacks. The zone and the
 * service of a worker are those of its latest report, so that nothing is known of a
 * worker before it reports to this leader; until then it gets no starts either.
 */
final class WorkerAvailability {

	private final FleetState state;

	private final WorkerRegistry registry;

	WorkerAvailability(FleetState state, WorkerRegistry registry) {
		this.state = state;
		this.registry = registry;
	}

	/**
	 * Returns whether a worker may begin no tasks. Runs that it has begun continue.
	 * @param worker the worker
	 * @return whether its zone is evacuated or its service was removed
	 */
	boolean closed(TrackedWorker worker) {
		return evacuated(worker) || serviceRemoved(worker);
	}

	boolean closed(WorkerIncarnation incarnation) {
		return this.registry.worker(incarnation).filter(this::closed).isPresent();
	}

	private boolean evacuated(TrackedWorker worker) {
		return this.state.evacuations().evacuated(worker.report().zone());
	}

	private boolean serviceRemoved(TrackedWorker worker) {
		return !this.state.hasService(worker.report().service());
	}

	/**
	 * Returns why a start that no response has carried is withdrawn.
	 * @param incarnation the incarnation of its worker
	 * @return the cause
	 */
	LossCause unsentCause(WorkerIncarnation incarnation) {
		Optional<TrackedWorker> worker = this.registry.worker(incarnation);
		if (worker.filter(this::evacuated).isPresent()) {
			return LossCause.ZONE_EVACUATED;
		}
		return worker.filter(this::serviceRemoved).isPresent() ? LossCause.SERVICE_REMOVED : LossCause.START_NOT_SENT;
	}

	/**
	 * Returns whether a start may no longer be sent to its worker. A run that the worker
	 * lists has begun and continues; so may one that a full list of ends lacks.
	 * @param worker the worker
	 * @param task the task
	 * @param run the run number
	 * @return whether the worker may begin no tasks and does not have the run
	 */
	boolean preventsStart(TrackedWorker worker, TaskId task, int run) {
		return closed(worker) && !worker.reportsRunning(task, run) && FleetScheduler.listsAllEnds(worker.report());
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
	 * @return the racks whose workers may all begin no tasks
	 */
	Set<String> closedRacks() {
		Set<String> closed = new HashSet<>();
		Set<String> open = new HashSet<>();
		for (TrackedWorker worker : this.registry.workers()) {
			(closed(worker) ? closed : open).add(worker.report().rack());
		}
		closed.removeAll(open);
		return closed;
	}

}
