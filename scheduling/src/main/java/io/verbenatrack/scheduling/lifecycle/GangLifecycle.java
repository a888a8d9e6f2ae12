package io.verbenatrack.scheduling.lifecycle;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.rules.Admission;
import io.verbenatrack.scheduling.rules.JobFailureLimit;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.FleetCapacity;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.GangMember;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Makes all decisions on an event that do not choose accelerators: admission, the
 * two-step start of a gang, its end and its return to the queue.
 */
public final class GangLifecycle {

	private final SchedulingState state;

	private final FleetCapacity capacity;

	/**
	 * Creates a lifecycle that reads the given state.
	 * @param state the state
	 */
	public GangLifecycle(SchedulingState state) {
		this.state = state;
		this.capacity = new FleetCapacity(state.fleet());
	}

	/**
	 * Makes the decisions that follow directly from an event, whatever the policy.
	 * @param event what happened
	 * @param now the time of the event
	 * @param collector the collector of decisions
	 */
	public void handle(SchedulingEvent event, Instant now, DecisionCollector collector) {
		switch (event) {
			case SchedulingEvent.JobSubmitted submitted -> submit(submitted.job(), now, collector);
			case SchedulingEvent.JobCancelled cancelled ->
				this.state.jobs().job(cancelled.job()).ifPresent((job) -> cancel(job, now, collector));
			case SchedulingEvent.WorkerAnnounced announced -> announce(announced.worker(), collector);
			case SchedulingEvent.WorkerLost lost -> loseWorker(lost.worker(), now, collector);
			case SchedulingEvent.WorkerDraining draining -> drain(draining.worker(), collector);
			case SchedulingEvent.MemberReported report -> report(report, now, collector);
			case SchedulingEvent.UsageReported usage -> recordUsage(usage, collector);
			case SchedulingEvent.DeclarationsInForce inForce ->
				collector.add(new SchedulingDecision.AdoptDeclarations(inForce.declarations()));
			case SchedulingEvent.TimePassed passed -> checkDeadlines(now, collector);
		}
	}

	private void submit(JobSpec spec, Instant now, DecisionCollector collector) {
		if (this.state.jobs().job(spec.id()).isPresent()) {
			return;
		}
		Admission.Verdict verdict = Admission.decide(this.state, this.capacity, spec);
		collector.add(new SchedulingDecision.AcceptJob(spec, now));
		switch (verdict) {
			case Admission.Admit admit -> {
			}
			case Admission.AdmitWaiting waiting ->
				collector.add(new SchedulingDecision.ExplainWait(spec.id(), waiting.reason()));
			case Admission.Refuse refuse ->
				collector.add(new SchedulingDecision.EndJob(spec.id(), new JobOutcome.Refused(now, refuse.problem())));
		}
	}

	private void cancel(JobRecord job, Instant now, DecisionCollector collector) {
		if (job.outcome().isPresent() || job.cancelledAt().isPresent()) {
			return;
		}
		if (job.lease().isEmpty()) {
			collector.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Cancelled(now)));
			return;
		}
		collector.add(new SchedulingDecision.CancelJob(job.id(), now));
		if (!"stopping".equals(job.phase())) {
			stop(job, "Cancelled by the caller.", now, collector);
		}
	}

	private static void stop(JobRecord job, String reason, Instant now, DecisionCollector collector) {
		collector.add(new SchedulingDecision.StopGang(job.id(), job.lease().orElseThrow().token(), reason, now));
	}

	private void announce(WorkerSpec spec, DecisionCollector collector) {
		Optional<WorkerRecord> known = this.state.fleet().worker(spec.id());
		if (known.isEmpty() || "lost".equals(known.get().phase())) {
			collector.add(new SchedulingDecision.AdmitWorker(spec));
		}
	}

	private void loseWorker(WorkerId id, Instant now, DecisionCollector collector) {
		Optional<WorkerRecord> worker = this.state.fleet().worker(id);
		if (worker.isEmpty() || "lost".equals(worker.get().phase())) {
			return;
		}
		List<JobRecord> jobs = new ArrayList<>(worker.get().jobs());
		collector.add(new SchedulingDecision.RemoveWorker(id));
		for (JobRecord job : jobs) {
			advanceGang(job, now, collector);
		}
	}

	private void drain(WorkerId id, DecisionCollector collector) {
		Optional<WorkerRecord> worker = this.state.fleet().worker(id);
		if (worker.isPresent() && !"lost".equals(worker.get().phase()) && !"draining".equals(worker.get().phase())) {
			collector.add(new SchedulingDecision.DrainWorker(id));
		}
	}

	private void report(SchedulingEvent.MemberReported report, Instant now, DecisionCollector collector) {
		Optional<JobRecord> job = this.state.jobs().job(report.job());
		Optional<GangLease> lease = job.flatMap(JobRecord::lease).filter((held) -> held.token().equals(report.token()));
		Optional<GangMember> member = lease.flatMap((held) -> held.member(report.worker()));
		if (member.isEmpty() || !member.get().accepts(report.report())) {
			return;
		}
		collector
			.add(new SchedulingDecision.RecordMember(report.job(), report.token(), report.worker(), report.report()));
		advanceGang(job.get(), now, collector);
	}

	private void recordUsage(SchedulingEvent.UsageReported usage, DecisionCollector collector) {
		Optional<JobRecord> job = this.state.jobs().job(usage.job());
		if (job.isEmpty() || job.get().lease().isEmpty()) {
			return;
		}
		boolean advanced = usage.progress().compareTo(job.get().progress()) > 0
				|| usage.checkpointed().compareTo(job.get().checkpointed()) > 0;
		if (advanced) {
			collector.add(new SchedulingDecision.RecordUsage(usage.job(), usage.progress(), usage.checkpointed()));
		}
	}

	/**
	 * Makes the decisions that follow from the states of a gang's members.
	 * @param job a job that holds accelerators
	 * @param now the time
	 * @param collector the collector of decisions
	 */
	private void advanceGang(JobRecord job, Instant now, DecisionCollector collector) {
		GangLease lease = job.lease().orElseThrow();
		if (lease.allMembers(GangMember::ended)) {
			end(job, lease, now, collector);
			return;
		}
		boolean broken = lease.anyMemberIs("failed") || lease.anyMemberIs("lost") || lease.anyMemberIs("stopped");
		if ("stopping".equals(job.phase())) {
			return;
		}
		if (broken) {
			stop(job, "A member of the gang failed, stopped or was lost with its worker.", now, collector);
		}
		else if ("preparing".equals(job.phase()) && lease.allMembers((member) -> "prepared".equals(member.phase()))) {
			collector.add(new SchedulingDecision.StartGang(job.id(), lease.token(), now));
		}
		else if ("checkpointing".equals(job.phase())
				&& lease.allMembers((member) -> member.saved() || member.ended())) {
			stop(job, job.reason(), now, collector);
		}
	}

	private void end(JobRecord job, GangLease lease, Instant now, DecisionCollector collector) {
		if (lease.allMembers((member) -> "finished".equals(member.phase()))) {
			collector.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Finished(now)));
			return;
		}
		if (job.cancelledAt().isPresent()) {
			collector.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Cancelled(now)));
			return;
		}
		Optional<Problem> refusal = lease.anyMemberIs("failed") ? JobFailureLimit.decide(this.state.fleet(), job,
				this.state.declarations().defaults().refuseAfterWorkers()) : Optional.empty();
		if (refusal.isPresent()) {
			collector.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Refused(now, refusal.get())));
			return;
		}
		collector.add(new SchedulingDecision.RequeueJob(job.id(), CheckpointedProgress.of(job), now));
	}

	private void checkDeadlines(Instant now, DecisionCollector collector) {
		for (JobRecord job : List.copyOf(this.state.jobs().inTransition())) {
			checkDeadline(job, job.lease().orElseThrow(), now, collector);
		}
	}

	private void checkDeadline(JobRecord job, GangLease lease, Instant now, DecisionCollector collector) {
		Duration since = Duration.between(lease.changedAt(), now);
		Duration leaseDuration = this.state.declarations().defaults().leaseDuration();
		switch (job.phase()) {
			case "checkpointing" -> {
				if (since.compareTo(this.state.declarations().defaults().checkpointGrace()) >= 0) {
					stop(job, job.reason(), now, collector);
				}
			}
			case "preparing" -> {
				if (since.compareTo(leaseDuration) >= 0) {
					stop(job, "A worker did not prepare its member within the lease.", now, collector);
				}
			}
			case "stopping" -> {
				if (since.compareTo(leaseDuration) >= 0) {
					stop(job, job.reason(), now, collector);
				}
			}
			default -> {
			}
		}
	}

}
