package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.scheduling.SchedulingView;

/**
 * Creates the views of the state for operators.
 */
public final class SchedulingViews {

	private SchedulingViews() {
	}

	/**
	 * Creates a view of the whole state.
	 * @param state the state
	 * @return the view
	 */
	public static SchedulingView of(SchedulingState state) {
		Map<AccountId, Integer> held = new HashMap<>();
		Map<AccountId, Integer> borrowed = new HashMap<>();
		List<SchedulingView.JobView> jobs = new ArrayList<>(state.jobs().all().size());
		for (JobRecord job : state.jobs().all()) {
			SchedulingView.JobView view = job(state, job);
			jobs.add(view);
			int accelerators = view.placement().map(GangPlacement::accelerators).orElse(0);
			held.merge(job.spec().account(), accelerators, Integer::sum);
			borrowed.merge(job.spec().account(), view.borrowed() ? accelerators : 0, Integer::sum);
		}
		List<SchedulingView.AccountView> accounts = new ArrayList<>();
		for (AccountDeclaration account : state.declarations().accounts()) {
			accounts.add(new SchedulingView.AccountView(account.id(), account.guarantees(),
					state.shortGuarantees(account.id()).orElse(List.of()), held.getOrDefault(account.id(), 0),
					borrowed.getOrDefault(account.id(), 0),
					List.copyOf(state.regions().ofAccount(account.id()).values())));
		}
		return new SchedulingView(jobs, workers(state), accounts, FragmentationMeasure.of(state));
	}

	/**
	 * Creates a view of one job.
	 * @param state the state
	 * @param job the job
	 * @return the view
	 */
	public static SchedulingView.JobView job(SchedulingState state, JobRecord job) {
		boolean borrowed = job.lease()
			.map((lease) -> state.regions().containing(job.spec().account(), lease.placement()).isEmpty())
			.orElse(false);
		return new SchedulingView.JobView(job.spec(), job.phase(), job.reason(), job.submittedAt(),
				job.lease().map(GangLease::token), job.lease().map(GangLease::placement), job.checkpointed(),
				job.reclaims(), borrowed, job.outcome());
	}

	private static List<SchedulingView.WorkerView> workers(SchedulingState state) {
		List<SchedulingView.WorkerView> workers = new ArrayList<>();
		for (WorkerRecord worker : state.fleet().workers()) {
			int free = Long.bitCount(worker.freeMask());
			workers
				.add(new SchedulingView.WorkerView(worker.spec(), worker.phase(), worker.spec().accelerators() - free));
		}
		return workers;
	}

}
