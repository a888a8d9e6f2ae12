package io.verbenatrack.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.WorkerSpec;

/**
 * A copy of the scheduling state for views and reports.
 *
 * @param jobs all jobs that are remembered
 * @param workers all workers
 * @param accounts all client accounts
 * @param fragmentation the share of free accelerators that the largest waiting guaranteed
 * shape cannot use, from 0 to 1
 */
public record SchedulingView(List<JobView> jobs, List<WorkerView> workers, List<AccountView> accounts,
		double fragmentation) {

	/**
	 * One job.
	 *
	 * @param job what was declared
	 * @param phase the state of the job chart, such as waiting or running
	 * @param reason why it is there
	 * @param submittedAt when it was accepted
	 * @param token the lease, while it holds accelerators
	 * @param placement the accelerators, while it holds some
	 * @param keptProgress run time that need not be repeated
	 * @param reclaims how often it was stopped to make room
	 * @param borrowed whether it holds accelerators beyond its account's guarantees, so
	 * that it may be reclaimed
	 * @param outcome the outcome, once there is one
	 */
	public record JobView(JobSpec job, String phase, String reason, Instant submittedAt, Optional<FencingToken> token,
			Optional<GangPlacement> placement, Duration keptProgress, int reclaims, boolean borrowed,
			Optional<JobOutcome> outcome) {

	}

	/**
	 * One worker.
	 *
	 * @param worker what it announced
	 * @param phase the state of the worker chart, such as ready or quarantined
	 * @param busyAccelerators how many accelerators are held
	 */
	public record WorkerView(WorkerSpec worker, String phase, int busyAccelerators) {

	}

	/**
	 * One client account.
	 *
	 * @param account the account
	 * @param guaranteed its guarantees
	 * @param missing those that the fleet cannot cover now
	 * @param heldAccelerators accelerators its jobs hold
	 * @param borrowedAccelerators those of them over its guarantees
	 * @param regions the accelerators held for each guaranteed gang that the fleet covers
	 */
	public record AccountView(AccountId account, List<Guarantee> guaranteed, List<Guarantee> missing,
			int heldAccelerators, int borrowedAccelerators, List<GangPlacement> regions) {

	}

}
