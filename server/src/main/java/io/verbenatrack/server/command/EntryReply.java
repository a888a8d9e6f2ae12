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
 * How the leading replica answers a command.
 */
public sealed interface EntryReply {

	/**
	 * The command was not carried out.
	 *
	 * @param problem why, and what to do
	 */
	record Failed(Problem problem) implements EntryReply {

	}

	/**
	 * The replica asked does not lead; nothing was recorded there.
	 *
	 * @param leader who leads, if that is known
	 */
	record NotLeading(Optional<InstanceId> leader) implements EntryReply {

	}

	/**
	 * The command was recorded by a quorum.
	 */
	record Recorded() implements EntryReply {

	}

	/**
	 * The state of a job.
	 *
	 * @param job the job
	 * @param phase the state of the job chart
	 * @param reason why it is there
	 * @param outcome the outcome, once there is one
	 */
	record JobStatus(JobId job, String phase, String reason, Optional<JobOutcome> outcome) implements EntryReply {

	}

	/**
	 * The lease of a worker.
	 *
	 * @param duration how long the worker may go on, from when it sent the announcement
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
	 * Another configuration change came first.
	 *
	 * @param winner the change that has the revision, absent before the first change
	 * @param operator who made it
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
	 * Jobs, workers and client accounts.
	 *
	 * @param view a copy of the state
	 */
	record View(SchedulingView view) implements EntryReply {

	}

	/**
	 * The claim is granted to this dispatch.
	 */
	record ClaimGranted() implements EntryReply {

	}

	/**
	 * Another dispatch of the request holds the claim.
	 *
	 * @param holder the instance that dispatches it
	 * @param attempt the dispatch
	 */
	record ClaimHeld(InstanceId holder, AttemptId attempt) implements EntryReply {

	}

	/**
	 * The request was answered before.
	 *
	 * @param answer the kept answer
	 */
	record ClaimAnswered(KeptAnswer answer) implements EntryReply {

	}

	/**
	 * The request id was used for another request.
	 */
	record ClaimDiffers() implements EntryReply {

	}

}
