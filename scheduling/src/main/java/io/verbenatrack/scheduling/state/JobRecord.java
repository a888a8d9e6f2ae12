package io.verbenatrack.scheduling.state;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.scheduling.JobSnapshot;

/**
 * One job from its acceptance to its outcome.
 */
public final class JobRecord {

	private final JobSpec spec;

	private final Instant submittedAt;

	private final long sequence;

	private final List<JobSnapshot.Failure> failures = new ArrayList<>(0);

	private String phase = Charts.JOB.initialState();

	private String reason = "Accepted.";

	private GangLease lease;

	private Duration kept = Duration.ZERO;

	private Duration keptBefore = Duration.ZERO;

	private Duration progress = Duration.ZERO;

	private int reclaims;

	private Instant cancelledAt;

	private Instant waitingSince;

	private JobOutcome outcome;

	JobRecord(JobSpec spec, Instant submittedAt, long sequence) {
		this.spec = spec;
		this.submittedAt = submittedAt;
		this.waitingSince = submittedAt;
		this.sequence = sequence;
	}

	JobRecord(JobSnapshot snapshot) {
		this(snapshot.job(), snapshot.submittedAt(), snapshot.sequence());
		this.phase = snapshot.phase();
		this.reason = snapshot.reason();
		this.waitingSince = snapshot.waitingSince();
		this.kept = snapshot.kept();
		this.keptBefore = snapshot.keptBefore();
		this.progress = snapshot.progress();
		this.reclaims = snapshot.reclaims();
		this.cancelledAt = snapshot.cancelledAt().orElse(null);
		this.failures.addAll(snapshot.failures());
		this.lease = snapshot.lease().map(GangLease::new).orElse(null);
		this.outcome = snapshot.outcome().orElse(null);
	}

	JobSnapshot snapshot() {
		return new JobSnapshot(this.spec, this.phase, this.reason, this.submittedAt, this.waitingSince, this.sequence,
				this.kept, this.keptBefore, this.progress, this.reclaims, cancelledAt(), List.copyOf(this.failures),
				lease().map(GangLease::snapshot), outcome());
	}

	void changePhase(String event) {
		this.phase = Charts.next(Charts.JOB, this.phase, event);
	}

	void explain(String why) {
		this.reason = why;
	}

	void place(FencingToken token, GangPlacement placement, Instant at) {
		changePhase("place");
		this.lease = new GangLease(token, placement, at);
	}

	void countReclaim() {
		this.reclaims++;
	}

	void recordUsage(Duration done, Duration checkpointed) {
		this.progress = (done.compareTo(this.progress) > 0) ? done : this.progress;
		this.kept = (checkpointed.compareTo(this.kept) > 0) ? checkpointed : this.kept;
	}

	void requeue(Duration keptProgress, Instant at) {
		changePhase("requeue");
		this.lease = null;
		this.kept = keptProgress;
		this.keptBefore = keptProgress;
		this.progress = keptProgress;
		this.waitingSince = at;
	}

	void cancel(Instant at) {
		this.cancelledAt = at;
	}

	void recordFailure(JobSnapshot.Failure failure) {
		this.failures.add(failure);
	}

	void end(JobOutcome ending) {
		switch (ending) {
			case JobOutcome.Finished finished -> changePhase("finish");
			case JobOutcome.Refused refused -> changePhase("refuse");
			case JobOutcome.Cancelled cancelled -> changePhase("cancel");
		}
		this.outcome = ending;
		this.lease = null;
	}

	/**
	 * The job.
	 * @return its id
	 */
	public JobId id() {
		return this.spec.id();
	}

	/**
	 * What the caller declared.
	 * @return the specification
	 */
	public JobSpec spec() {
		return this.spec;
	}

	/**
	 * When the job was accepted.
	 * @return the time
	 */
	public Instant submittedAt() {
		return this.submittedAt;
	}

	/**
	 * Since when the job waits, or waited before its present placement.
	 * @return the time
	 */
	public Instant waitingSince() {
		return this.waitingSince;
	}

	/**
	 * The place of the job in the order of acceptance.
	 * @return the number, from 1
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * The state of the job chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Whether the job waits for accelerators.
	 * @return whether it is waiting
	 */
	public boolean waiting() {
		return "waiting".equals(this.phase);
	}

	/**
	 * Whether the gang runs and was not told to stop or save.
	 * @return whether it is running
	 */
	public boolean running() {
		return "running".equals(this.phase);
	}

	/**
	 * Whether the gang was told to give up its accelerators.
	 * @return whether it is saving or stopping
	 */
	public boolean leaving() {
		return "checkpointing".equals(this.phase) || "stopping".equals(this.phase);
	}

	/**
	 * Why the job is where it is.
	 * @return one sentence
	 */
	public String reason() {
		return this.reason;
	}

	/**
	 * The hold on accelerators.
	 * @return the lease, while there is one
	 */
	public Optional<GangLease> lease() {
		return Optional.ofNullable(this.lease);
	}

	/**
	 * The run time that need not be repeated.
	 * @return the time that checkpoints cover
	 */
	public Duration kept() {
		return this.kept;
	}

	/**
	 * The run time that was kept when the present placement was made.
	 * @return the time
	 */
	public Duration keptBefore() {
		return this.keptBefore;
	}

	/**
	 * The run time completed, as last reported.
	 * @return the time
	 */
	public Duration progress() {
		return this.progress;
	}

	/**
	 * How often the job was told to save and leave.
	 * @return how often
	 */
	public int reclaims() {
		return this.reclaims;
	}

	/**
	 * When the caller cancelled the job.
	 * @return the time, if it was cancelled
	 */
	public Optional<Instant> cancelledAt() {
		return Optional.ofNullable(this.cancelledAt);
	}

	/**
	 * The failures so far, in order.
	 * @return where they happened
	 */
	public List<JobSnapshot.Failure> failures() {
		return Collections.unmodifiableList(this.failures);
	}

	/**
	 * How the job ended.
	 * @return the outcome, once there is one
	 */
	public Optional<JobOutcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

}
