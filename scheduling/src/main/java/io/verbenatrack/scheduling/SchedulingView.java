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
 * A snapshot of the scheduling state for operators and reports.
 *
 * @param jobs all jobs, including ended ones that are still retained
 * @param workers all workers
 * @param accounts all client accounts
 * @param fragmentation the fraction of the free accelerators that the largest waiting
 * guaranteed shape cannot use, from 0 to 1
 */
public record SchedulingView(List<JobView> jobs, List<WorkerView> workers, List<AccountView> accounts,
		double fragmentation) {

	/**
	 * One job.
	 *
	 * @param job the specification that the caller submitted
	 * @param phase the state of the job chart, such as waiting or running
	 * @param reason why the job is in this state
	 * @param submittedAt when it was accepted
	 * @param token the fencing token of the lease, while the job holds accelerators
	 * @param placement the accelerators that the job holds, if any
	 * @param keptProgress the run time covered by checkpoints, which need not be repeated
	 * @param reclaims how often the job was told to checkpoint and release its
	 * accelerators
	 * @param borrowed whether the job holds accelerators outside its account's
	 * guarantees, so that they can be reclaimed
	 * @param outcome the outcome, once the job has ended
	 */
	public record JobView(JobSpec job, String phase, String reason, Instant submittedAt, Optional<FencingToken> token,
			Optional<GangPlacement> placement, Duration keptProgress, int reclaims, boolean borrowed,
			Optional<JobOutcome> outcome) {

	}

	/**
	 * One worker.
	 *
	 * @param worker the specification that the worker announced
	 * @param phase the state of the worker chart, such as ready or quarantined
	 * @param busyAccelerators the number of accelerators held by jobs
	 */
	public record WorkerView(WorkerSpec worker, String phase, int busyAccelerators) {

	}

	/**
	 * One client account.
	 *
	 * @param account the account
	 * @param guaranteed the guarantees of the account
	 * @param missing the guarantees that the fleet cannot provide now
	 * @param heldAccelerators the number of accelerators that its jobs hold
	 * @param borrowedAccelerators how many of the held accelerators are outside its
	 * guarantees
	 * @param regions the region of each guaranteed gang that the fleet can provide
	 */
	public record AccountView(AccountId account, List<Guarantee> guaranteed, List<Guarantee> missing,
			int heldAccelerators, int borrowedAccelerators, List<GangPlacement> regions) {

	}

}
