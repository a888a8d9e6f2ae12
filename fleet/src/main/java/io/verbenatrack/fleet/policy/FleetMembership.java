package io.verbenatrack.fleet.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.ServiceId;

/**
 * Decides which workers belong to the fleet. A worker with runs belongs to it with the
 * service for which they were started, also when the configuration in force lacks that
 * service. Any other worker belongs to it if the configuration has its service.
 *
 * <p>
 * For a worker with runs the replicated state alone decides, so that every leader decides
 * alike.
 */
final class FleetMembership {

	/** More than the workers of removed services that report at the same time. */
	private static final int MAX_OUTSIDERS = 1000;

	private final FleetState state;

	private final WorkerRegistry registry;

	/** Incarnations whose latest report came from outside the fleet. */
	private final Set<WorkerIncarnation> outsiders = new LinkedHashSet<>();

	FleetMembership(FleetState state, WorkerRegistry registry) {
		this.state = state;
		this.registry = registry;
	}

	/**
	 * Returns whether the sender of a report belongs to the fleet.
	 * @param report the report
	 * @return whether the report may be followed
	 */
	boolean includes(WorkerReport report) {
		boolean included = this.state.serviceOf(report.life())
			.map(report.service()::equals)
			.orElseGet(() -> this.state.hasService(report.service()) && keepsService(report));
		if (included) {
			this.outsiders.remove(report.life());
		}
		return included;
	}

	// A worker keeps its service for life.
	private boolean keepsService(WorkerReport report) {
		Optional<ServiceId> known = this.registry.worker(report.life()).map((worker) -> worker.report().service());
		return known.filter((service) -> !service.equals(report.service())).isEmpty();
	}

	/**
	 * Records a report from outside the fleet.
	 * @param report the report
	 * @return whether it is the first one of its sender since it left the fleet
	 */
	boolean recordOutsider(WorkerReport report) {
		boolean first = this.outsiders.add(report.life());
		if (this.outsiders.size() > MAX_OUTSIDERS) {
			this.outsiders.remove(this.outsiders.iterator().next());
		}
		return first;
	}

	/**
	 * Returns which ends an outsider need not report again. Its last end is recorded when
	 * it leaves the fleet, but the response may have been lost.
	 * @param report a report from outside the fleet
	 * @return the highest number of its ends if none of them changes the state, otherwise
	 * 0
	 */
	long settledEnds(WorkerReport report) {
		boolean settled = this.state.runsOn(report.life()).isEmpty() && report.ended()
			.stream()
			.noneMatch((end) -> this.state.changesTask(
					new FleetCommand.EndRun(end.task(), end.run(), report.life(), end.how(), end.checkpoint())));
		return settled ? report.ended().stream().mapToLong(ReportedEnd::number).max().orElse(0) : 0;
	}

	/**
	 * Removes the workers that no longer belong to the fleet, as their service was
	 * removed and their last run has ended.
	 * @return the removed workers
	 */
	List<TrackedWorker> removeFormerMembers() {
		return this.registry.removeIf((worker) -> !this.state.hasService(worker.report().service())
				&& this.state.runsOn(worker.incarnation()).isEmpty());
	}

}
