package io.verbenatrack.server.leader;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.server.command.WorkerReport;

/**
 * The scheduler state of one term of leadership, and the decisions made on it.
 */
final class SchedulingSession {

	private final Scheduler scheduler;

	private final WorkerLeases leases;

	private final int maximumWorkers;

	private final UnfinishedJobQuota unfinishedJobs;

	SchedulingSession(Scheduler scheduler, WorkerLeases leases, LeaderLimits limits) {
		this.scheduler = scheduler;
		this.leases = leases;
		this.maximumWorkers = limits.workers();
		this.unfinishedJobs = new UnfinishedJobQuota(limits.unfinishedJobs(), limits.unfinishedJobsPerAccount(),
				scheduler.view());
	}

	private void decide(SchedulingEvent event, Instant now, PendingBatch batch) {
		List<SchedulingDecision> decisions = this.scheduler.decide(event, now);
		this.unfinishedJobs.update(decisions);
		batch.add(decisions);
	}

	EntryReply submit(JobSpec job, Instant now, PendingBatch batch) {
		Optional<SchedulingView.JobView> existing = this.scheduler.job(job.id());
		if (existing.isPresent() && !existing.get().job().equals(job)) {
			return new EntryReply.Failed(new Problem(ProblemKind.CONFLICT,
					"Job " + job.id() + " exists with another content.", "Choose a new id for a new job."));
		}
		Optional<Problem> admissionProblem = this.unfinishedJobs.admissionProblem(job.account());
		if (existing.isEmpty() && admissionProblem.isPresent()) {
			return new EntryReply.Failed(admissionProblem.get());
		}
		if (existing.isEmpty()) {
			decide(new SchedulingEvent.JobSubmitted(job), now, batch);
		}
		return status(job);
	}

	private EntryReply status(JobSpec job) {
		return this.scheduler.job(job.id()).map(SchedulingSession::status).orElseGet(() -> notFound(job.id()));
	}

	EntryReply cancel(EntryCommand.CancelJob cancel, Instant now, PendingBatch batch) {
		if (this.scheduler.job(cancel.job()).isEmpty()) {
			return notFound(cancel.job());
		}
		decide(new SchedulingEvent.JobCancelled(cancel.job()), now, batch);
		return find(new EntryCommand.FindJob(cancel.job()));
	}

	EntryReply find(EntryCommand.FindJob find) {
		return this.scheduler.job(find.job()).map(SchedulingSession::status).orElseGet(() -> notFound(find.job()));
	}

	private static EntryReply notFound(Object job) {
		return new EntryReply.Failed(CommandProblems.notFound("job", job));
	}

	private static EntryReply status(SchedulingView.JobView job) {
		if (job.outcome().isPresent() && job.outcome().get() instanceof JobOutcome.Refused refused) {
			return new EntryReply.JobStatus(job.job().id(), job.phase(), refused.reason().toString(), job.outcome());
		}
		return new EntryReply.JobStatus(job.job().id(), job.phase(), job.reason(), job.outcome());
	}

	EntryReply announce(EntryCommand.AnnounceWorker announce, Instant now, GrantedTime time, PendingBatch batch) {
		WorkerId worker = announce.worker().id();
		if (!this.leases.isKnown(worker) && this.leases.size() >= this.maximumWorkers) {
			return new EntryReply.Failed(new Problem(ProblemKind.OVERLOADED,
					"The fleet has " + this.maximumWorkers + " workers already.", "Raise limits.workers."));
		}
		boolean restarted = this.leases.renew(worker, announce.url(), announce.incarnation(), time);
		if (restarted) {
			decide(new SchedulingEvent.WorkerLost(worker), now, batch);
		}
		decide(new SchedulingEvent.WorkerAnnounced(announce.worker()), now, batch);
		return new EntryReply.WorkerLease(this.leases.lease());
	}

	EntryReply drain(EntryCommand.DrainWorker drain, Instant now, PendingBatch batch) {
		if (!this.leases.isKnown(drain.worker())) {
			return new EntryReply.Failed(CommandProblems.notFound("worker", drain.worker()));
		}
		decide(new SchedulingEvent.WorkerDraining(drain.worker()), now, batch);
		return new EntryReply.Recorded();
	}

	EntryReply report(EntryCommand.ReportMembers command, Instant now, PendingBatch batch) {
		for (WorkerReport report : command.reports()) {
			decide(toEvent(command.worker(), report), now, batch);
		}
		return new EntryReply.Recorded();
	}

	private static SchedulingEvent toEvent(WorkerId worker, WorkerReport report) {
		return switch (report) {
			case WorkerReport.MemberChange change ->
				new SchedulingEvent.MemberReported(change.job(), change.token(), worker, change.report());
			case WorkerReport.Usage usage -> new SchedulingEvent.UsageReported(usage.job(), usage.progress(),
					usage.checkpointed(), usage.memoryGib());
		};
	}

	EntryReply adopt(Declarations declarations, Instant now, PendingBatch batch) {
		decide(new SchedulingEvent.DeclarationsInForce(declarations), now, batch);
		return new EntryReply.Recorded();
	}

	void advanceTime(Instant now, GrantedTime time, PendingBatch batch) {
		for (WorkerId worker : this.leases.removeExpired(time)) {
			decide(new SchedulingEvent.WorkerLost(worker), now, batch);
		}
		decide(new SchedulingEvent.TimePassed(), now, batch);
	}

	SchedulingView view() {
		return this.scheduler.view();
	}

	List<WorkerId> workers() {
		return view().workers().stream().map((worker) -> worker.worker().id()).toList();
	}

}
