package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.forecast.ForecastEvent;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.ZoneId;

/**
 * An observation or decision of the leader that is logged but not replicated.
 */
public sealed interface FleetEvent {

	/**
	 * An incarnation of a worker reported for the first time in the term.
	 *
	 * @param report the report
	 */
	record WorkerJoined(WorkerReport report) implements FleetEvent {

	}

	/**
	 * A worker reports that it is draining.
	 *
	 * @param incarnation the incarnation of the worker
	 * @param running the number of runs in progress
	 */
	record WorkerDraining(WorkerIncarnation incarnation, int running) implements FleetEvent {

	}

	/**
	 * A worker was removed after its lease expired.
	 *
	 * @param incarnation the incarnation of the worker
	 * @param silentMillis the time since its last report in milliseconds
	 */
	record WorkerGone(WorkerIncarnation incarnation, long silentMillis) implements FleetEvent {

	}

	/**
	 * A worker was removed, as the configuration in force lacks its service and its last
	 * run has ended.
	 *
	 * @param incarnation the incarnation of the worker
	 * @param service the removed service
	 */
	record WorkerReleased(WorkerIncarnation incarnation, ServiceId service) implements FleetEvent {

	}

	/**
	 * A report was not followed.
	 *
	 * @param report the report
	 * @param reason the reason
	 * @param repeated whether it only repeats that its sender is outside the fleet
	 */
	record ReportIgnored(WorkerReport report, IgnoreReason reason, boolean repeated) implements FleetEvent {

	}

	/**
	 * The cancellation of an unknown job was refused, as its client account has no room
	 * for it.
	 *
	 * @param cancellation the cancellation
	 * @param accountBytes the memory that the cancellations of the account take already
	 * @param maxBytes the room of the account in bytes
	 * @param retryMillis when there may be room, in milliseconds from now
	 */
	record CancellationRefused(Cancellation cancellation, long accountBytes, long maxBytes,
			long retryMillis) implements FleetEvent {

	}

	/**
	 * A job was refused, as its client account cancelled it before it arrived.
	 *
	 * @param cancellation the cancellation of the job
	 */
	record CancelledJobRefused(Cancellation cancellation) implements FleetEvent {

	}

	/**
	 * A job was refused, as the replicas lack the memory for it.
	 *
	 * @param job the job
	 * @param account its client account
	 * @param jobBytes the memory that the job may take, in bytes
	 * @param accountBytes the memory that the jobs of the account may take already
	 * @param maxBytes the maximum of all accounts
	 * @param retryMillis when there may be room, in milliseconds from now
	 */
	record JobRefused(JobId job, AccountId account, long jobBytes, long accountBytes, long maxBytes,
			long retryMillis) implements FleetEvent {

	}

	/**
	 * An order about the evacuation of an availability zone was refused and changed
	 * nothing.
	 *
	 * @param zone the zone
	 * @param withdrawal whether the order was to withdraw the evacuation
	 * @param reason why it was refused
	 * @param waitedMillis how long the order waited for the leader, in milliseconds
	 * @param evacuated the number of zones that are evacuated
	 */
	record EvacuationRefused(ZoneId zone, boolean withdrawal, EvacuationRefusal reason, long waitedMillis,
			int evacuated) implements FleetEvent {

	}

	/**
	 * A run is taken for lost, so that its task may start again.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param incarnation the incarnation of the worker that may have run it
	 * @param cause why it is lost
	 * @param silentMillis the time since the worker reported last in this term, or since
	 * the term began, in milliseconds
	 */
	record RunGivenUp(TaskId task, int run, WorkerIncarnation incarnation, LossCause cause,
			long silentMillis) implements FleetEvent {

	}

	/**
	 * A reported end changes nothing: the run is not the current one of its task. The
	 * response to the report acknowledges the end all the same.
	 *
	 * @param incarnation the incarnation of the worker
	 * @param end the end
	 * @param currentRun the number of the last run of the task, 0 for none
	 * @param currentWorker the worker on which the task runs now
	 */
	record EndIgnored(WorkerIncarnation incarnation, ReportedEnd end, int currentRun,
			Optional<WorkerIncarnation> currentWorker) implements FleetEvent {

	}

	/**
	 * A worker is suspected of a fault after several consecutive jobs failed on it. It
	 * gets no new tasks until the suspicion expires.
	 *
	 * @param incarnation the incarnation of the worker
	 */
	record WorkerSuspected(WorkerIncarnation incarnation) implements FleetEvent {

	}

	/**
	 * A run is stopped so that a step of a queue of priority 0 can start.
	 *
	 * @param task the task that is stopped
	 * @param run the run number
	 * @param startingStep the first task of the step that is to start
	 * @param guaranteed whether that step is within the guarantee of its client account
	 * @param lostMillis the work that is discarded, in milliseconds of an accelerator; a
	 * core counts as an eighth of an accelerator
	 * @param earlierPreemptions how often the step of the task was preempted before in
	 * this term
	 */
	record RunPreempted(TaskId task, int run, TaskId startingStep, boolean guaranteed, long lostMillis,
			int earlierPreemptions) implements FleetEvent {

	}

	/**
	 * A run is stopped so that its task restarts on another worker.
	 *
	 * @param task the task
	 * @param run the run number
	 * @param incarnation the incarnation of the worker that it leaves
	 * @param percent the progress in percent, 0 to 100
	 * @param cause why it is moved
	 */
	record RunMoved(TaskId task, int run, WorkerIncarnation incarnation, int percent,
			MoveCause cause) implements FleetEvent {

	}

	/**
	 * The expected run times or worker speeds have changed.
	 *
	 * @param change the change
	 */
	record ForecastChanged(ForecastEvent change) implements FleetEvent {

	}

	/**
	 * A job waits because no eligible workers have enough free resources for it.
	 *
	 * @param job the job
	 * @param waitedMillis how long it has been waiting without interruption in this term
	 * @param reason why it waits
	 * @param step the index of the waiting step
	 * @param tasks the number of waiting tasks
	 * @param accelerators the number of accelerators that each task requires
	 * @param outlook the name of the expected completion outcome
	 * @param workers the number of workers of its service that may get tasks
	 * @param eligible how many of them the step may use, by its label, its rack, its
	 * limit for one worker and where its tasks failed or stalled
	 * @param unreserved how many of these are not reserved for others
	 * @param holders the jobs that occupy most of the accelerators of the eligible
	 * workers
	 */
	record JobWaits(JobId job, long waitedMillis, WaitReason reason, int step, int tasks, int accelerators,
			String outlook, int workers, int eligible, int unreserved,
			List<CapacityHolder> holders) implements FleetEvent {

	}

}
