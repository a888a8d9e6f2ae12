package io.verbenatrack.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Derives from a view the decisions that lead to it.
 */
final class ReplayDecisions {

	private static final Set<String> BEFORE_START = Set.of("waiting", "preparing", "placed");

	private ReplayDecisions() {
	}

	static List<SchedulingDecision> of(SchedulingView view) {
		List<SchedulingDecision> decisions = new ArrayList<>();
		view.workers().forEach((worker) -> decisions.add(new SchedulingDecision.AdmitWorker(worker.worker())));
		view.jobs().forEach((job) -> addJob(decisions, job));
		return decisions;
	}

	private static void addJob(List<SchedulingDecision> decisions, SchedulingView.JobView job) {
		decisions.add(new SchedulingDecision.AcceptJob(job.job(), job.submittedAt()));
		if (job.outcome().isPresent()) {
			decisions.add(new SchedulingDecision.EndJob(job.job().id(), job.outcome().get()));
		}
		else if (job.token().isPresent() && job.placement().isPresent()) {
			decisions.add(new SchedulingDecision.PlaceGang(job.job().id(), job.token().get(), job.placement().get(),
					job.submittedAt()));
			if (!BEFORE_START.contains(job.phase())) {
				decisions.add(new SchedulingDecision.StartGang(job.job().id(), job.token().get(), job.submittedAt()));
			}
		}
	}

}
