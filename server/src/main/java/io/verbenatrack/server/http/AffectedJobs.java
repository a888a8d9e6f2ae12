package io.verbenatrack.server.http;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.settings.DeclarationsDiff;

/**
 * Finds the running jobs that a change of declarations affects.
 */
final class AffectedJobs {

	private AffectedJobs() {
	}

	/**
	 * Finds the jobs that hold accelerators and to which a change applies.
	 * @param diff the changes
	 * @param view the jobs and workers
	 * @return the ids of the jobs, sorted
	 */
	static List<String> of(DeclarationsDiff diff, SchedulingView view) {
		return view.jobs()
			.stream()
			.filter((job) -> job.placement().isPresent())
			.filter((job) -> diff.changes().stream().anyMatch((change) -> applies(change.subject(), job, view)))
			.map((job) -> job.job().id().value())
			.sorted()
			.toList();
	}

	private static boolean applies(DeclarationsDiff.Subject subject, SchedulingView.JobView job, SchedulingView view) {
		return switch (subject) {
			case DeclarationsDiff.Subject.WholeFleet fleet -> true;
			case DeclarationsDiff.Subject.OneAccount affected -> job.job().account().equals(affected.account());
			case DeclarationsDiff.Subject.OneRack affected -> usesRack(job, affected.rack(), view);
		};
	}

	private static boolean usesRack(SchedulingView.JobView job, RackId rack, SchedulingView view) {
		Set<WorkerId> workers = view.workers()
			.stream()
			.map(SchedulingView.WorkerView::worker)
			.filter((worker) -> worker.rack().equals(rack))
			.map((worker) -> worker.id())
			.collect(Collectors.toSet());
		return job.placement().orElseThrow().slots().stream().anyMatch((slot) -> workers.contains(slot.worker()));
	}

}
