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
 * The state of a job from its acceptance to its outcome.
 */
public final class JobRecord {

	private final JobSpec spec;

	private final Instant submittedAt;

	private final long sequence;

	private final List<JobSnapshot.Failure> failures = new ArrayList<>(0);

	private String phase = StateCharts.JOB.initialState();

	private String reason = "Accepted.";

	private GangLease lease;

	private Duration checkpointed = Duration.ZERO;

	private Duration checkpointedBefore = Duration.ZERO;

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
		this.checkpointed = snapshot.kept();
		this.checkpointedBefore = snapshot.keptBefore();
		this.progress = snapshot.progress();
		this.reclaims = snapshot.reclaims();
		this.cancelledAt = snapshot.cancelledAt().orElse(null);
		this.failures.addAll(snapshot.failures());
		this.lease = snapshot.lease().map(GangLease::new).orElse(null);
		this.outcome = snapshot.outcome().orElse(null);
	}

	JobSnapshot snapshot() {
		return new JobSnapshot(this.spec, this.phase, this.reason, this.submittedAt, this.waitingSince, this.sequence,
				this.checkpointed, this.checkpointedBefore, this.progress, this.reclaims, cancelledAt(),
				List.copyOf(this.failures), lease().map(GangLease::snapshot), outcome());
	}

	void changePhase(String event) {
		this.phase = StateCharts.next(StateCharts.JOB, this.phase, event);
	}

	void setReason(String why) {
		this.reason = why;
	}

	void place(FencingToken token, GangPlacement placement, Instant at) {
		changePhase("place");
		this.lease = new GangLease(token, placement, at);
	}

	void countReclaim() {
		this.reclaims++;
	}

	void recordUsage(Duration reportedProgress, Duration reportedCheckpoint) {
		this.progress = (reportedProgress.compareTo(this.progress) > 0) ? reportedProgress : this.progress;
		this.checkpointed = (reportedCheckpoint.compareTo(this.checkpointed) > 0) ? reportedCheckpoint
				: this.checkpointed;
	}

	void requeue(Duration keptProgress, Instant at) {
		changePhase("requeue");
		this.lease = null;
		this.checkpointed = keptProgress;
		this.checkpointedBefore = keptProgress;
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
	 * Returns the id of the job.
	 * @return its id
	 */
	public JobId id() {
		return this.spec.id();
	}

	/**
	 * Returns the specification that the caller submitted.
	 * @return the specification
	 */
	public JobSpec spec() {
		return this.spec;
	}

	/**
	 * Returns when the job was accepted.
	 * @return the time
	 */
	public Instant submittedAt() {
		return this.submittedAt;
	}

	/**
	 * Returns when the job last entered the waiting state.
	 * @return the time
	 */
	public Instant waitingSince() {
		return this.waitingSince;
	}

	/**
	 * Returns the position of the job in the order of acceptance.
	 * @return the number, from 1
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the state of the job chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Returns whether the job waits for accelerators.
	 * @return whether it is waiting
	 */
	public boolean waiting() {
		return "waiting".equals(this.phase);
	}

	/**
	 * Returns whether the gang is running and was not told to stop or checkpoint.
	 * @return whether it is running
	 */
	public boolean running() {
		return "running".equals(this.phase);
	}

	/**
	 * Returns whether the gang was told to release its accelerators.
	 * @return whether it is checkpointing or stopping
	 */
	public boolean releasing() {
		return "checkpointing".equals(this.phase) || "stopping".equals(this.phase);
	}

	/**
	 * Returns why the job is in its current state.
	 * @return one sentence
	 */
	public String reason() {
		return this.reason;
	}

	/**
	 * Returns the lease of the job on accelerators.
	 * @return the lease, while there is one
	 */
	public Optional<GangLease> lease() {
		return Optional.ofNullable(this.lease);
	}

	/**
	 * Returns the run time covered by checkpoints, which need not be repeated.
	 * @return the run time
	 */
	public Duration checkpointed() {
		return this.checkpointed;
	}

	/**
	 * Returns the run time that checkpoints covered when the current placement was made.
	 * @return the time
	 */
	public Duration checkpointedBefore() {
		return this.checkpointedBefore;
	}

	/**
	 * Returns the completed run time, as last reported.
	 * @return the time
	 */
	public Duration progress() {
		return this.progress;
	}

	/**
	 * Returns how often the job was told to checkpoint and release its accelerators.
	 * @return the count
	 */
	public int reclaims() {
		return this.reclaims;
	}

	/**
	 * Returns when the caller cancelled the job.
	 * @return the time, if it was cancelled
	 */
	public Optional<Instant> cancelledAt() {
		return Optional.ofNullable(this.cancelledAt);
	}

	/**
	 * Returns the failures so far, in order.
	 * @return where they happened
	 */
	public List<JobSnapshot.Failure> failures() {
		return Collections.unmodifiableList(this.failures);
	}

	/**
	 * Returns the outcome of the job.
	 * @return the outcome, once there is one
	 */
	public Optional<JobOutcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

}
