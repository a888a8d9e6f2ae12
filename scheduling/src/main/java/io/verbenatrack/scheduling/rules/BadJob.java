package io.verbenatrack.scheduling.rules;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.JobSnapshot;
import io.verbenatrack.scheduling.state.FleetState;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Refuses a job for good once it failed on several workers that run other jobs well.
 */
public final class BadJob {

	/**
	 * A job that failed on this many times as many workers is refused even where none of
	 * them is proven good.
	 */
	static final int UNPROVEN_FACTOR = 4;

	/**
	 * A job that failed this many times as often, on whatever workers, is refused, so
	 * that each job has an outcome and its history stays short.
	 */
	static final int MOST_FAILURES_FACTOR = 16;

	private BadJob() {
	}

	/**
	 * Decides on a job that failed.
	 * @param fleet the workers
	 * @param job the job
	 * @param refuseAfterWorkers failures on that many good workers refuse it
	 * @return why it is refused, with its history, or empty to try again
	 */
	public static Optional<Problem> decide(FleetState fleet, JobRecord job, int refuseAfterWorkers) {
		if (job.failures().size() >= MOST_FAILURES_FACTOR * refuseAfterWorkers) {
			Set<WorkerId> failedOn = new LinkedHashSet<>();
			job.failures().forEach((failure) -> failedOn.add(failure.worker()));
			return Optional.of(problem(job, failedOn));
		}
		Set<WorkerId> good = new LinkedHashSet<>();
		Set<WorkerId> unproven = new LinkedHashSet<>();
		Set<WorkerId> all = new LinkedHashSet<>();
		for (JobSnapshot.Failure failure : job.failures()) {
			all.add(failure.worker());
			if (fleet.worker(failure.worker()).filter(BadJob::isUnsuspected).isPresent()) {
				unproven.add(failure.worker());
			}
			if (fleet.worker(failure.worker()).filter((worker) -> isGood(worker, failure)).isPresent()) {
				good.add(failure.worker());
			}
		}
		boolean refused = good.size() >= refuseAfterWorkers
				|| unproven.size() >= unprovenLimit(fleet, refuseAfterWorkers);
		return refused ? Optional.of(problem(job, all)) : Optional.empty();
	}

	private static boolean isUnsuspected(WorkerRecord worker) {
		return "ready".equals(worker.phase());
	}

	private static long unprovenLimit(FleetState fleet, int refuseAfterWorkers) {
		long ready = fleet.workers().stream().filter(BadJob::isUnsuspected).count();
		return Math.max(refuseAfterWorkers, Math.min(ready, UNPROVEN_FACTOR * refuseAfterWorkers));
	}

	private static boolean isGood(WorkerRecord worker, JobSnapshot.Failure failure) {
		boolean finishedSince = worker.successes() > failure.successesBefore();
		boolean finishedBefore = failure.successesBefore() > 0 && worker.failuresInARow() <= 1;
		return worker.usable() && (finishedSince || finishedBefore);
	}

	private static Problem problem(JobRecord job, Set<WorkerId> workers) {
		return new Problem(ProblemKind.INVALID,
				"The job failed " + job.failures().size() + " times, on the workers " + workers + ".",
				"Correct the job and submit it under a new id.");
	}

}
