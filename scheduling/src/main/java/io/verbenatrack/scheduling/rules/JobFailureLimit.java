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
 * Refuses a job permanently once it has failed on several workers on which other jobs
 * finish.
 */
public final class JobFailureLimit {

	/**
	 * A job that failed on this many times the configured number of workers is refused
	 * even if no other job has finished on them.
	 */
	static final int UNPROVEN_WORKERS_FACTOR = 4;

	/**
	 * A job whose failures reach this many times the configured number is refused,
	 * whichever workers it failed on. This gives every job an outcome and limits the
	 * length of its failure history.
	 */
	static final int MAXIMUM_FAILURES_FACTOR = 16;

	private JobFailureLimit() {
	}

	/**
	 * Decides on a job that failed.
	 * @param fleet the workers
	 * @param job the job
	 * @param refuseAfterWorkers the number of proven workers after whose failures the job
	 * is refused
	 * @return why the job is refused, with its failures, or empty to retry it
	 */
	public static Optional<Problem> decide(FleetState fleet, JobRecord job, int refuseAfterWorkers) {
		if (job.failures().size() >= MAXIMUM_FAILURES_FACTOR * refuseAfterWorkers) {
			Set<WorkerId> failedOn = new LinkedHashSet<>();
			job.failures().forEach((failure) -> failedOn.add(failure.worker()));
			return Optional.of(problem(job, failedOn));
		}
		Set<WorkerId> provenWorkers = new LinkedHashSet<>();
		Set<WorkerId> readyWorkers = new LinkedHashSet<>();
		Set<WorkerId> workers = new LinkedHashSet<>();
		for (JobSnapshot.Failure failure : job.failures()) {
			workers.add(failure.worker());
			if (fleet.worker(failure.worker()).filter(JobFailureLimit::isReady).isPresent()) {
				readyWorkers.add(failure.worker());
			}
			if (fleet.worker(failure.worker()).filter((worker) -> isProven(worker, failure)).isPresent()) {
				provenWorkers.add(failure.worker());
			}
		}
		boolean refused = provenWorkers.size() >= refuseAfterWorkers
				|| readyWorkers.size() >= readyWorkerLimit(fleet, refuseAfterWorkers);
		return refused ? Optional.of(problem(job, workers)) : Optional.empty();
	}

	private static boolean isReady(WorkerRecord worker) {
		return "ready".equals(worker.phase());
	}

	private static long readyWorkerLimit(FleetState fleet, int refuseAfterWorkers) {
		long ready = fleet.workers().stream().filter(JobFailureLimit::isReady).count();
		return Math.max(refuseAfterWorkers, Math.min(ready, UNPROVEN_WORKERS_FACTOR * refuseAfterWorkers));
	}

	private static boolean isProven(WorkerRecord worker, JobSnapshot.Failure failure) {
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
