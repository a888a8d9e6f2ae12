package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.lifecycle.ReplicatedScheduler;
import io.verbenatrack.scheduling.rules.WorkerQuarantine;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Scheduling policy that makes every guarantee available on demand, lends unused
 * guaranteed accelerators to other jobs and prevents starvation of large gangs.
 */
public final class GuaranteeScheduler extends ReplicatedScheduler {

	/** The maximum time between two passes over all waiting jobs. */
	private static final Duration FULL_PASS_INTERVAL = Duration.ofSeconds(10);

	private final RegionManager regions;

	private final PlacementPass pass;

	private Instant lastFullPass = Instant.EPOCH;

	private boolean capacityChanged;

	/**
	 * Creates a scheduler with no jobs and no workers.
	 */
	public GuaranteeScheduler() {
		this(DEFAULT_REMEMBERED_JOBS);
	}

	/**
	 * Creates a scheduler with no jobs and no workers.
	 * @param rememberedJobs the number of ended jobs to retain; the oldest are dropped
	 * first
	 */
	public GuaranteeScheduler(int rememberedJobs) {
		super(rememberedJobs);
		this.regions = new RegionManager(state());
		this.pass = new PlacementPass(state(), this.regions);
	}

	@Override
	protected void applyPolicy(SchedulingEvent event, Instant now, DecisionCollector collector) {
		if (event instanceof SchedulingEvent.MemberReported report && report.report() == MemberReport.FAILED) {
			quarantine(report, now, collector);
		}
		if (event instanceof SchedulingEvent.TimePassed) {
			releaseQuarantined(now, collector);
		}
		this.capacityChanged |= freesCapacity(collector.decisions());
		boolean mayEndShortage = this.capacityChanged && !state().shortGuarantees().isEmpty();
		if (mayEndShortage || collector.decisions().stream().anyMatch(GuaranteeScheduler::changesFleet)) {
			this.regions.repack(collector);
			this.capacityChanged = true;
		}
		boolean due = !now.isBefore(this.lastFullPass.plus(FULL_PASS_INTERVAL));
		this.pass.begin(now, collector);
		if (this.capacityChanged || due) {
			this.pass.placeAll();
			this.capacityChanged = false;
			this.lastFullPass = now;
		}
		else if (event instanceof SchedulingEvent.JobSubmitted submitted) {
			state().jobs().job(submitted.job().id()).filter(JobRecord::waiting).ifPresent(this.pass::placeArrived);
		}
	}

	private void quarantine(SchedulingEvent.MemberReported report, Instant now, DecisionCollector collector) {
		Optional<WorkerRecord> worker = state().fleet().worker(report.worker());
		if (worker.isPresent() && WorkerQuarantine.shouldQuarantine(worker.get(), state().fleet().workers(),
				state().declarations().defaults())) {
			Instant until = now.plus(WorkerQuarantine.duration(worker.get(), state().declarations().defaults()));
			collector.add(new SchedulingDecision.QuarantineWorker(report.worker(), until));
		}
	}

	private void releaseQuarantined(Instant now, DecisionCollector collector) {
		for (WorkerRecord worker : state().fleet().workers()) {
			if ("quarantined".equals(worker.phase()) && !now.isBefore(worker.quarantinedUntil())) {
				collector.add(new SchedulingDecision.ReleaseWorker(worker.id()));
			}
		}
	}

	private static boolean changesFleet(SchedulingDecision decision) {
		return switch (decision) {
			case SchedulingDecision.AdmitWorker admit -> true;
			case SchedulingDecision.RemoveWorker remove -> true;
			case SchedulingDecision.DrainWorker drain -> true;
			case SchedulingDecision.QuarantineWorker quarantine -> true;
			case SchedulingDecision.ReleaseWorker release -> true;
			case SchedulingDecision.AdoptDeclarations adopt -> true;
			default -> false;
		};
	}

	private static boolean freesCapacity(List<SchedulingDecision> decisions) {
		for (SchedulingDecision decision : decisions) {
			if (decision instanceof SchedulingDecision.RequeueJob || decision instanceof SchedulingDecision.EndJob) {
				return true;
			}
		}
		return false;
	}

}
