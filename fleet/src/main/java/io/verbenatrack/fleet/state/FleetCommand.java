package io.verbenatrack.fleet.state;

import java.util.List;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ZoneId;

/**
 * A decision of the leader that changes the replicated state.
 */
public sealed interface FleetCommand {

	/**
	 * Adopts a configuration if its version is higher than the current one.
	 *
	 * @param configuration the configuration
	 * @param document the configuration as its operator wrote it
	 */
	record AdoptConfiguration(FleetConfiguration configuration, byte[] document) implements FleetCommand {

	}

	/**
	 * Accepts a job, unless its account has cancelled it before.
	 *
	 * @param job the job
	 * @param queue the name of the queue
	 * @param account the client account on whose behalf the job runs
	 * @param plan the plan of the job
	 * @param acceptedMillis when the job was accepted, in milliseconds since the epoch
	 */
	record AcceptJob(JobId job, String queue, AccountId account, JobPlan plan,
			long acceptedMillis) implements FleetCommand {

	}

	/**
	 * Cancels a job.
	 *
	 * @param job the job
	 */
	record CancelJob(JobId job) implements FleetCommand {

	}

	/**
	 * Cancels a job that was unknown when this was decided. If the account has submitted
	 * it since, it is cancelled; otherwise a later submission by the account is not
	 * accepted.
	 *
	 * @param cancellation the account and the job
	 */
	record CancelUnknownJob(Cancellation cancellation) implements FleetCommand {

	}

	/**
	 * Starts a run. The start is sent to the worker only after this command is committed.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param life the incarnation of the worker that runs it
	 */
	record StartRun(TaskId task, int run, WorkerIncarnation life) implements FleetCommand {

	}

	/**
	 * Records the end of a run.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param life the incarnation of the worker that ran it
	 * @param how the outcome
	 * @param checkpoint a checkpoint from which a later run can resume, empty to keep the
	 * last one
	 */
	record EndRun(TaskId task, int run, WorkerIncarnation life, RunOutcome how,
			String checkpoint) implements FleetCommand {

	}

	/**
	 * Records that a worker has begun the first task of each job. A start alone does not
	 * tell, as its worker may never get it.
	 *
	 * @param jobs the jobs
	 */
	record BeginJobs(List<JobId> jobs) implements FleetCommand {

		public BeginJobs {
			jobs = List.copyOf(jobs);
		}

	}

	/**
	 * Removes jobs that ended long ago.
	 *
	 * @param jobs the jobs
	 */
	record ForgetJobs(List<JobId> jobs) implements FleetCommand {

		public ForgetJobs {
			jobs = List.copyOf(jobs);
		}

	}

	/**
	 * Removes cancellations of unknown jobs that were recorded long ago.
	 *
	 * @param cancellations the cancellations
	 */
	record ForgetCancellations(List<Cancellation> cancellations) implements FleetCommand {

		public ForgetCancellations {
			cancellations = List.copyOf(cancellations);
		}

	}

	/**
	 * Evacuates an availability zone: its workers begin no tasks until
	 * {@link WithdrawEvacuation}. Changes nothing if the zone is evacuated already.
	 *
	 * @param zone the zone
	 */
	record EvacuateZone(ZoneId zone) implements FleetCommand {

	}

	/**
	 * Withdraws the evacuation of an availability zone, if there is one.
	 *
	 * @param zone the zone
	 */
	record WithdrawEvacuation(ZoneId zone) implements FleetCommand {

	}

	/**
	 * Records learned run times and worker speeds, so that a later leader continues from
	 * them. Values that the command does not name remain.
	 *
	 * @param classes the run times by class
	 * @param speeds the speeds of workers
	 */
	record RecordRunTimes(List<ClassRunTimes> classes, List<WorkerSpeed> speeds) implements FleetCommand {

		public RecordRunTimes {
			classes = List.copyOf(classes);
			speeds = List.copyOf(speeds);
		}

	}

}
