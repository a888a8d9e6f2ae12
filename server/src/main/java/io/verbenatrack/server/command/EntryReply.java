package io.verbenatrack.server.command;

import java.time.Duration;
import java.util.Optional;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.Revision;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.scheduling.SchedulingView;

/**
 * The reply of a replica to a command.
 */
public sealed interface EntryReply {

	/**
	 * The command was not executed, or its outcome is unknown.
	 *
	 * @param problem the reason and the remedy
	 */
	record Failed(Problem problem) implements EntryReply {

	}

	/**
	 * The called replica is not the leader and recorded nothing.
	 *
	 * @param leader the leader, if known
	 */
	record NotLeading(Optional<InstanceId> leader) implements EntryReply {

	}

	/**
	 * A quorum has recorded the command.
	 */
	record Recorded() implements EntryReply {

	}

	/**
	 * The state of a job.
	 *
	 * @param job the job
	 * @param phase the state of the job in the state chart
	 * @param reason why the job is in this state
	 * @param outcome the outcome, once the job has ended
	 */
	record JobStatus(JobId job, String phase, String reason, Optional<JobOutcome> outcome) implements EntryReply {

	}

	/**
	 * The lease of a worker.
	 *
	 * @param duration how long the worker may run, counted from when it sent the
	 * announcement
	 */
	record WorkerLease(Duration duration) implements EntryReply {

	}

	/**
	 * A configuration change was accepted.
	 *
	 * @param revision its revision
	 */
	record ChangeAccepted(Revision revision) implements EntryReply {

	}

	/**
	 * The configuration change was rejected because another one was accepted first.
	 *
	 * @param winner the change that created the revision in force, empty before the first
	 * change
	 * @param operator the operator who made the winning change
	 * @param current the revision in force
	 */
	record ChangeLost(Optional<ChangeId> winner, String operator, Revision current) implements EntryReply {

	}

	/**
	 * The declarations in force.
	 *
	 * @param revision their revision
	 * @param declarations the declarations
	 */
	record DeclarationsInForce(Revision revision, Declarations declarations) implements EntryReply {

	}

	/**
	 * The view of jobs, workers and client accounts.
	 *
	 * @param view a snapshot of the state
	 */
	record View(SchedulingView view) implements EntryReply {

	}

	/**
	 * The claim was granted to this dispatch attempt.
	 */
	record ClaimGranted() implements EntryReply {

	}

	/**
	 * Another dispatch attempt holds the claim.
	 *
	 * @param holder the instance that dispatches the request
	 * @param attempt the dispatch attempt that holds the claim
	 */
	record ClaimHeld(InstanceId holder, AttemptId attempt) implements EntryReply {

	}

	/**
	 * The request has already been answered.
	 *
	 * @param answer the stored answer
	 */
	record ClaimAnswered(KeptAnswer answer) implements EntryReply {

	}

	/**
	 * The request id has already been used for a different request.
	 */
	record ClaimDiffers() implements EntryReply {

	}

}
