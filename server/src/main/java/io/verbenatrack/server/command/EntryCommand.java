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
 * A command that an instance sends to the leading replica. All commands are idempotent.
 */
public sealed interface EntryCommand {

	/**
	 * Submits a job.
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
	 * Queries the state of a job.
	 *
	 * @param job the job
	 */
	record FindJob(JobId job) implements EntryCommand {

	}

	/**
	 * Announces a worker or renews its lease.
	 *
	 * @param worker the worker
	 * @param url the base URL of the worker
	 * @param incarnation an identifier that changes whenever the worker loses its running
	 * members
	 */
	record AnnounceWorker(WorkerSpec worker, String url, String incarnation) implements EntryCommand {

	}

	/**
	 * Drains a worker: it gets no new work and leaves when its running members have
	 * finished.
	 *
	 * @param worker the worker
	 */
	record DrainWorker(WorkerId worker) implements EntryCommand {

	}

	/**
	 * Records the reports of a worker.
	 *
	 * @param worker the worker
	 * @param reports the reports, oldest first
	 */
	record ReportMembers(WorkerId worker, List<WorkerReport> reports) implements EntryCommand {

	}

	/**
	 * Makes the scheduler use declarations that a quorum has accepted.
	 *
	 * @param declarations the declarations
	 */
	record AdoptDeclarations(Declarations declarations) implements EntryCommand {

	}

	/**
	 * A command whose outcome is decided by a replicated state machine and not by the
	 * scheduler.
	 */
	sealed interface Replicated extends EntryCommand {

	}

	/**
	 * Changes the declarations.
	 *
	 * @param change the id of the change; a resend uses the same id
	 * @param expectedRevision the number of the revision that the change is based on
	 * @param operator the operator who makes the change
	 * @param declarations the complete new declarations
	 */
	record ChangeDeclarations(ChangeId change, long expectedRevision, String operator,
			Declarations declarations) implements Replicated {

	}

	/**
	 * Queries the declarations in force.
	 */
	record FetchDeclarations() implements Replicated {

	}

	/**
	 * Queries the view of jobs, workers and client accounts.
	 */
	record FetchView() implements EntryCommand {

	}

	/**
	 * Claims a request that is not idempotent and so may run at most once.
	 *
	 * @param request the request
	 * @param bodyDigest the digest of its body, in hexadecimal
	 * @param attempt the dispatch attempt that the claim permits
	 * @param entry the instance that dispatches the request
	 * @param retention how long the claim is retained
	 */
	record ClaimRequest(RequestSpec request, String bodyDigest, AttemptId attempt, InstanceId entry,
			Duration retention) implements Replicated {

	}

	/**
	 * Stores the answer to a claimed request.
	 *
	 * @param request the request
	 * @param attempt the dispatch attempt that holds the claim
	 * @param answer the answer
	 */
	record KeepAnswer(RequestSpec request, AttemptId attempt, KeptAnswer answer) implements Replicated {

	}

	/**
	 * Releases the claim of a request that is known not to have started.
	 *
	 * @param request the request
	 * @param attempt the dispatch attempt that did not start
	 */
	record ReleaseClaim(RequestSpec request, AttemptId attempt) implements Replicated {

	}

}
