package io.verbenatrack.scheduling.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.scheduling.JobSnapshot;
import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * The complete state of the scheduler. It changes only through decisions, and the same
 * decisions in the same order give the same state.
 */
public final class SchedulingState {

	private final FleetState fleet = new FleetState();

	private final JobTable jobs = new JobTable();

	private final GuaranteeRegions regions = new GuaranteeRegions();

	private final RunTimeSamples runTimes = new RunTimeSamples();

	private final Map<AccountId, List<Guarantee>> shortGuarantees = new TreeMap<>();

	private Declarations declarations = Declarations.EMPTY;

	private long highestToken;

	/**
	 * Applies one decision.
	 * @param decision the decision
	 * @throws IllegalStateException if the decision does not match the state, such as one
	 * on an unknown job
	 */
	public void apply(SchedulingDecision decision) {
		switch (decision) {
			case SchedulingDecision.AcceptJob accept -> this.jobs.accept(accept.job(), accept.at());
			case SchedulingDecision.ExplainWait explain -> job(explain.job()).setReason(explain.reason());
			case SchedulingDecision.PlaceGang place -> place(place);
			case SchedulingDecision.StartGang start -> start(start);
			case SchedulingDecision.RecordMember record -> recordMember(record);
			case SchedulingDecision.CheckpointGang checkpoint -> checkpoint(checkpoint);
			case SchedulingDecision.StopGang stop -> stop(stop);
			case SchedulingDecision.CancelJob cancel -> job(cancel.job()).cancel(cancel.at());
			case SchedulingDecision.RequeueJob requeue -> requeue(requeue);
			case SchedulingDecision.EndJob end -> end(job(end.job()), end.outcome());
			case SchedulingDecision.RecordUsage usage -> recordUsage(usage);
			case SchedulingDecision.AdmitWorker admit -> this.fleet.admit(admit.worker());
			case SchedulingDecision.RemoveWorker remove -> remove(remove);
			case SchedulingDecision.DrainWorker drain -> this.fleet.drain(drain.worker());
			case SchedulingDecision.QuarantineWorker quarantine ->
				this.fleet.quarantine(quarantine.worker(), quarantine.until());
			case SchedulingDecision.ReleaseWorker release -> this.fleet.release(release.worker());
			case SchedulingDecision.ReportShortGuarantee report -> reportShortage(report);
			case SchedulingDecision.BindGuarantee bind -> this.regions.bind(bind);
			case SchedulingDecision.AdoptDeclarations adopt -> this.declarations = adopt.declarations();
			case SchedulingDecision.ForgetJobs forget -> this.jobs.remove(forget.jobs());
			case SchedulingDecision.RestoreJob restore -> restore(restore.job());
			case SchedulingDecision.RestoreWorker restore -> this.fleet.restore(restore);
			case SchedulingDecision.RestoreRunTimes restore -> this.runTimes.restore(restore);
			case SchedulingDecision.RaiseTokenFloor raise -> raiseToken(raise.floor());
		}
	}

	private void restore(JobSnapshot snapshot) {
		JobRecord job = this.jobs.restore(snapshot);
		job.lease().ifPresent((lease) -> this.fleet.hold(job, lease));
	}

	private JobRecord job(JobId id) {
		return this.jobs.require(id);
	}

	private void place(SchedulingDecision.PlaceGang place) {
		JobRecord job = job(place.job());
		job.place(place.token(), place.placement(), place.at());
		raiseToken(place.token());
		this.fleet.hold(job, lease(job));
		this.jobs.reindex(job);
	}

	private void start(SchedulingDecision.StartGang start) {
		JobRecord job = job(start.job());
		job.changePhase("start");
		lease(job).changePhase("start", start.at());
		this.jobs.reindex(job);
	}

	private void recordMember(SchedulingDecision.RecordMember record) {
		JobRecord job = job(record.job());
		WorkerRecord worker = this.fleet.require(record.worker());
		lease(job).member(record.worker()).orElseThrow().changePhase(MemberEvents.of(record.report()));
		if (record.report() == MemberReport.FAILED) {
			job.recordFailure(new JobSnapshot.Failure(worker.id(), worker.successes()));
			worker.recordFailure();
		}
		if (record.report() == MemberReport.FINISHED) {
			worker.recordSuccess();
		}
	}

	private void checkpoint(SchedulingDecision.CheckpointGang checkpoint) {
		JobRecord job = job(checkpoint.job());
		job.changePhase("checkpoint");
		job.setReason(checkpoint.reason());
		job.countReclaim();
		lease(job).checkpoint(checkpoint.at());
		this.jobs.reindex(job);
	}

	private void stop(SchedulingDecision.StopGang stop) {
		JobRecord job = job(stop.job());
		job.changePhase("stop");
		job.setReason(stop.reason());
		lease(job).changePhase("revoke", stop.at());
		this.jobs.reindex(job);
	}

	private void requeue(SchedulingDecision.RequeueJob requeue) {
		JobRecord job = job(requeue.job());
		GangLease lease = lease(job);
		lease.changePhase("release", requeue.at());
		this.fleet.release(job, lease.placement().slots());
		job.requeue(requeue.keptProgress(), requeue.at());
		this.jobs.reindex(job);
	}

	private void end(JobRecord job, JobOutcome outcome) {
		if (outcome instanceof JobOutcome.Finished finished) {
			this.runTimes.recordFinished(job, finished.at());
		}
		job.lease().ifPresent((lease) -> releaseEnded(job, lease, outcome.at()));
		job.end(outcome);
		this.jobs.recordEnded(job);
	}

	private void releaseEnded(JobRecord job, GangLease lease, Instant at) {
		lease.changePhase("release", at);
		this.fleet.release(job, lease.placement().slots());
	}

	private void recordUsage(SchedulingDecision.RecordUsage usage) {
		job(usage.job()).recordUsage(usage.progress(), usage.checkpointed());
	}

	private void remove(SchedulingDecision.RemoveWorker remove) {
		for (JobRecord job : this.fleet.require(remove.worker()).jobs()) {
			lease(job).member(remove.worker()).ifPresent(GangMember::detach);
		}
		this.fleet.markLost(remove.worker());
	}

	private void reportShortage(SchedulingDecision.ReportShortGuarantee report) {
		if (report.missing().isEmpty()) {
			this.shortGuarantees.remove(report.account());
		}
		else {
			this.shortGuarantees.put(report.account(), List.copyOf(report.missing()));
		}
	}

	private void raiseToken(FencingToken token) {
		this.highestToken = Math.max(this.highestToken, token.value());
	}

	private static GangLease lease(JobRecord job) {
		return job.lease()
			.orElseThrow(() -> new IllegalStateException(
					"Job " + job.id() + " has no lease. Apply the decisions in the order of the log."));
	}

	/**
	 * Returns the fencing token for the next placement.
	 * @return a token above all that were issued or reserved before
	 */
	public FencingToken nextToken() {
		return new FencingToken(this.highestToken + 1);
	}

	/**
	 * Returns the workers and racks.
	 * @return the fleet
	 */
	public FleetState fleet() {
		return this.fleet;
	}

	/**
	 * Returns the jobs.
	 * @return all retained jobs
	 */
	public JobTable jobs() {
		return this.jobs;
	}

	/**
	 * Returns the regions of the guaranteed gangs.
	 * @return the regions
	 */
	public GuaranteeRegions regions() {
		return this.regions;
	}

	/**
	 * Returns the run time samples of each job class.
	 * @return the samples
	 */
	public RunTimeSamples runTimes() {
		return this.runTimes;
	}

	/**
	 * Returns the decisions that recreate this state when applied to a new one.
	 * @return the decisions in order
	 */
	public List<SchedulingDecision> replay() {
		List<SchedulingDecision> decisions = new ArrayList<>();
		decisions.add(new SchedulingDecision.AdoptDeclarations(this.declarations));
		decisions.add(new SchedulingDecision.RaiseTokenFloor(new FencingToken(this.highestToken)));
		this.fleet.workers().forEach((worker) -> decisions.add(worker.snapshot()));
		this.jobs.all().forEach((job) -> decisions.add(new SchedulingDecision.RestoreJob(job.snapshot())));
		decisions.addAll(this.regions.replay());
		decisions.addAll(this.runTimes.replay());
		this.shortGuarantees.forEach(
				(account, missing) -> decisions.add(new SchedulingDecision.ReportShortGuarantee(account, missing)));
		return decisions;
	}

	/**
	 * Returns the configuration in force.
	 * @return the complete configuration
	 */
	public Declarations declarations() {
		return this.declarations;
	}

	/**
	 * Returns the guarantees that the fleet cannot provide now.
	 * @return the missing gangs of each account with a shortage
	 */
	public Map<AccountId, List<Guarantee>> shortGuarantees() {
		return Collections.unmodifiableMap(this.shortGuarantees);
	}

	/**
	 * Returns the guarantees of one account that the fleet cannot provide now.
	 * @param account the account
	 * @return its missing gangs, empty when none are missing
	 */
	public Optional<List<Guarantee>> shortGuarantees(AccountId account) {
		return Optional.ofNullable(this.shortGuarantees.get(account));
	}

}
