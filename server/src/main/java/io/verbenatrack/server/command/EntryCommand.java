package io.verbenatrack.server.command;

import java.time.Duration;
import java.util.List;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.routing.KeptAnswer;

/**
 * What an instance asks of the leading replica; each may be sent again without harm.
 */
public sealed interface EntryCommand {

	/**
	 * Accepts a job.
	 *
	 * @param job the job
	 */
	record SubmitJob(JobSpec job) implements EntryCommand {

	}

	/**
	 * Cancels a job.
	 *
	 * @param job the job
	 */
	record CancelJob(JobId job) implements EntryCommand {

	}

	/**
	 * Asks for the state of a job.
	 *
	 * @param job the job
	 */
	record FindJob(JobId job) implements EntryCommand {

	}

	/**
	 * Announces a worker or renews its lease.
	 *
	 * @param worker the worker
	 * @param url where it listens
	 * @param incarnation changes whenever the worker lost what it ran
	 */
	record AnnounceWorker(WorkerSpec worker, String url, String incarnation) implements EntryCommand {

	}

	/**
	 * Takes a worker out of service once it finished what it runs.
	 *
	 * @param worker the worker
	 */
	record DrainWorker(WorkerId worker) implements EntryCommand {

	}

	/**
	 * Records reports of a worker.
	 *
	 * @param worker the worker
	 * @param reports the reports in order
	 */
	record ReportMembers(WorkerId worker, List<WorkerReport> reports) implements EntryCommand {

	}

	/**
	 * Schedules by declarations that a quorum accepted.
	 *
	 * @param declarations the declarations
	 */
	record AdoptDeclarations(Declarations declarations) implements EntryCommand {

	}

	/**
	 * A command that the state machine itself decides, not the scheduler.
	 */
	sealed interface Replicated extends EntryCommand {

	}

	/**
	 * Changes the declarations.
	 *
	 * @param change identifies the change; a resend carries the same
	 * @param expectedRevision the number of the revision it was made from
	 * @param operator who asks
	 * @param declarations all of the new declarations
	 */
	record ChangeDeclarations(ChangeId change, long expectedRevision, String operator,
			Declarations declarations) implements Replicated {

	}

	/**
	 * Asks for the declarations in force.
	 */
	record FetchDeclarations() implements Replicated {

	}

	/**
	 * Asks for jobs, workers and client accounts.
	 */
	record FetchView() implements EntryCommand {

	}

	/**
	 * Claims a request that may run at most once.
	 *
	 * @param request the request
	 * @param bodyDigest the digest of its body, in hexadecimal
	 * @param attempt the dispatch that the claim allows
	 * @param entry the instance that will dispatch it
	 * @param retention how long the claim is kept
	 */
	record ClaimRequest(RequestSpec request, String bodyDigest, AttemptId attempt, InstanceId entry,
			Duration retention) implements Replicated {

	}

	/**
	 * Keeps the answer to a claimed request.
	 *
	 * @param request the request
	 * @param attempt the dispatch that the claim was for
	 * @param answer the answer
	 */
	record KeepAnswer(RequestSpec request, AttemptId attempt, KeptAnswer answer) implements Replicated {

	}

	/**
	 * Gives back the claim of a request that proved not to have begun.
	 *
	 * @param request the request
	 * @param attempt the dispatch that did not begin
	 */
	record ReleaseClaim(RequestSpec request, AttemptId attempt) implements Replicated {

	}

}
