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
	 * @param log the collector of decisions
	 */
	public void handle(SchedulingEvent event, Instant now, DecisionCollector log) {
		switch (event) {
			case SchedulingEvent.JobSubmitted submitted -> submit(submitted.job(), now, log);
			case SchedulingEvent.JobCancelled cancelled ->
				this.state.jobs().job(cancelled.job()).ifPresent((job) -> cancel(job, now, log));
			case SchedulingEvent.WorkerAnnounced announced -> announce(announced.worker(), log);
			case SchedulingEvent.WorkerLost lost -> lose(lost.worker(), now, log);
			case SchedulingEvent.WorkerDraining draining -> drain(draining.worker(), log);
			case SchedulingEvent.MemberReported report -> report(report, now, log);
			case SchedulingEvent.UsageReported usage -> recordUsage(usage, log);
			case SchedulingEvent.DeclarationsInForce inForce ->
				log.add(new SchedulingDecision.AdoptDeclarations(inForce.declarations()));
			case SchedulingEvent.TimePassed passed -> checkDeadlines(now, log);
		}
	}

	private void submit(JobSpec spec, Instant now, DecisionCollector log) {
		if (this.state.jobs().job(spec.id()).isPresent()) {
			return;
		}
		Admission.Verdict verdict = Admission.decide(this.state, this.capacity, spec);
		log.add(new SchedulingDecision.AcceptJob(spec, now));
		switch (verdict) {
			case Admission.Admit admit -> {
			}
			case Admission.AdmitWaiting waiting ->
				log.add(new SchedulingDecision.ExplainWait(spec.id(), waiting.reason()));
			case Admission.Refuse refuse ->
				log.add(new SchedulingDecision.EndJob(spec.id(), new JobOutcome.Refused(now, refuse.problem())));
		}
	}

	private void cancel(JobRecord job, Instant now, DecisionCollector log) {
		if (job.outcome().isPresent() || job.cancelledAt().isPresent()) {
			return;
		}
		if (job.lease().isEmpty()) {
			log.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Cancelled(now)));
			return;
		}
		log.add(new SchedulingDecision.CancelJob(job.id(), now));
		if (!"stopping".equals(job.phase())) {
			stop(job, "Cancelled by the caller.", now, log);
		}
	}

	private static void stop(JobRecord job, String reason, Instant now, DecisionCollector log) {
		log.add(new SchedulingDecision.StopGang(job.id(), job.lease().orElseThrow().token(), reason, now));
	}

	private void announce(WorkerSpec spec, DecisionCollector log) {
		Optional<WorkerRecord> known = this.state.fleet().worker(spec.id());
		if (known.isEmpty() || "lost".equals(known.get().phase())) {
			log.add(new SchedulingDecision.AdmitWorker(spec));
		}
	}

	private void lose(WorkerId id, Instant now, DecisionCollector log) {
		Optional<WorkerRecord> worker = this.state.fleet().worker(id);
		if (worker.isEmpty() || "lost".equals(worker.get().phase())) {
			return;
		}
		List<JobRecord> jobs = new ArrayList<>(worker.get().jobs());
		log.add(new SchedulingDecision.RemoveWorker(id));
		for (JobRecord job : jobs) {
			settle(job, now, log);
		}
	}

	private void drain(WorkerId id, DecisionCollector log) {
		Optional<WorkerRecord> worker = this.state.fleet().worker(id);
		if (worker.isPresent() && !"lost".equals(worker.get().phase()) && !"draining".equals(worker.get().phase())) {
			log.add(new SchedulingDecision.DrainWorker(id));
		}
	}

	private void report(SchedulingEvent.MemberReported report, Instant now, DecisionCollector log) {
		Optional<JobRecord> job = this.state.jobs().job(report.job());
		Optional<GangLease> lease = job.flatMap(JobRecord::lease).filter((held) -> held.token().equals(report.token()));
		Optional<GangMember> member = lease.flatMap((held) -> held.member(report.worker()));
		if (member.isEmpty() || !member.get().accepts(report.report())) {
			return;
		}
		log.add(new SchedulingDecision.RecordMember(report.job(), report.token(), report.worker(), report.report()));
		settle(job.get(), now, log);
	}

	private void recordUsage(SchedulingEvent.UsageReported usage, DecisionCollector log) {
		Optional<JobRecord> job = this.state.jobs().job(usage.job());
		if (job.isEmpty() || job.get().lease().isEmpty()) {
			return;
		}
		boolean further = usage.progress().compareTo(job.get().progress()) > 0
				|| usage.checkpointed().compareTo(job.get().kept()) > 0;
		if (further) {
			log.add(new SchedulingDecision.RecordUsage(usage.job(), usage.progress(), usage.checkpointed()));
		}
	}

	/**
	 * Makes the decisions that follow from the states of a gang's members.
	 * @param job a job that holds accelerators
	 * @param now the time
	 * @param log the collector of decisions
	 */
	private void settle(JobRecord job, Instant now, DecisionCollector log) {
		GangLease lease = job.lease().orElseThrow();
		if (lease.all(GangMember::ended)) {
			end(job, lease, now, log);
			return;
		}
		boolean broken = lease.anyIs("failed") || lease.anyIs("lost") || lease.anyIs("stopped");
		if ("stopping".equals(job.phase())) {
			return;
		}
		if (broken) {
			stop(job, "A member of the gang failed, stopped or was lost with its worker.", now, log);
		}
		else if ("preparing".equals(job.phase()) && lease.all((member) -> "prepared".equals(member.phase()))) {
			log.add(new SchedulingDecision.StartGang(job.id(), lease.token(), now));
		}
		else if ("checkpointing".equals(job.phase()) && lease.all((member) -> member.saved() || member.ended())) {
			stop(job, job.reason(), now, log);
		}
	}

	private void end(JobRecord job, GangLease lease, Instant now, DecisionCollector log) {
		if (lease.all((member) -> "finished".equals(member.phase()))) {
			log.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Finished(now)));
			return;
		}
		if (job.cancelledAt().isPresent()) {
			log.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Cancelled(now)));
			return;
		}
		Optional<Problem> bad = lease.anyIs("failed") ? JobFailureLimit.decide(this.state.fleet(), job,
				this.state.declarations().defaults().refuseAfterWorkers()) : Optional.empty();
		if (bad.isPresent()) {
			log.add(new SchedulingDecision.EndJob(job.id(), new JobOutcome.Refused(now, bad.get())));
			return;
		}
		log.add(new SchedulingDecision.RequeueJob(job.id(), CheckpointedProgress.of(job), now));
	}

	private void checkDeadlines(Instant now, DecisionCollector log) {
		for (JobRecord job : List.copyOf(this.state.jobs().inTransition())) {
			checkDeadline(job, job.lease().orElseThrow(), now, log);
		}
	}

	private void checkDeadline(JobRecord job, GangLease lease, Instant now, DecisionCollector log) {
		Duration since = Duration.between(lease.changedAt(), now);
		Duration leaseDuration = this.state.declarations().defaults().leaseDuration();
		switch (job.phase()) {
			case "checkpointing" -> {
				if (since.compareTo(this.state.declarations().defaults().checkpointGrace()) >= 0) {
					stop(job, job.reason(), now, log);
				}
			}
			case "preparing" -> {
				if (since.compareTo(leaseDuration) >= 0) {
					stop(job, "A worker did not prepare its member within the lease.", now, log);
				}
			}
			case "stopping" -> {
				if (since.compareTo(leaseDuration) >= 0) {
					stop(job, job.reason(), now, log);
				}
			}
			default -> {
			}
		}
	}

}
