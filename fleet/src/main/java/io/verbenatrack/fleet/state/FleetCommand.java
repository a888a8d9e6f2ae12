package io.verbenatrack.fleet.state;

import java.util.List;

import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * A decision of the leader that changes the replicated state.
 */
public sealed interface FleetCommand {

	/**
	 * Takes a configuration over if its version is higher than the present one.
	 *
	 * @param configuration the configuration
	 * @param document the same as its operator wrote it
	 */
	record AdoptConfiguration(FleetConfiguration configuration, byte[] document) implements FleetCommand {

	}

	/**
	 * Accepts a job.
	 *
	 * @param job its name
	 * @param queue the name of its queue
	 * @param account the client account that it runs for
	 * @param plan what to run
	 * @param acceptedMillis when, in milliseconds since 1970
	 */
	record AcceptJob(JobId job, String queue, AccountId account, JobPlan plan,
			long acceptedMillis) implements FleetCommand {

	}

	/**
	 * Cancels a job.
	 *
	 * @param job its name
	 */
	record CancelJob(JobId job) implements FleetCommand {

	}

	/**
	 * Starts a run; it leaves for the worker only once this is committed.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param life the worker that runs it
	 */
	record StartRun(TaskId task, int run, WorkerIncarnation life) implements FleetCommand {

	}

	/**
	 * Takes note of the end of a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param life the worker that ran it
	 * @param how how it ended
	 * @param checkpoint where a later run may go on, empty for no news
	 */
	record EndRun(TaskId task, int run, WorkerIncarnation life, RunOutcome how,
			String checkpoint) implements FleetCommand {

	}

	/**
	 * Drops jobs that ended long ago.
	 *
	 * @param jobs their names
	 */
	record ForgetJobs(List<JobId> jobs) implements FleetCommand {

		public ForgetJobs {
			jobs = List.copyOf(jobs);
		}

	}

}
