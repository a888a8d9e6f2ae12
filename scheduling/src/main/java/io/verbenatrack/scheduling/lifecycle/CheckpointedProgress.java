package io.verbenatrack.scheduling.lifecycle;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.GangMember;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Computes the run time that a gang need not repeat after it stops.
 */
final class CheckpointedProgress {

	private CheckpointedProgress() {
	}

	/**
	 * Returns the run time that is certainly covered by checkpoints. When every member
	 * saved a checkpoint on request, this is all run time up to the request. Usage
	 * reports lag and may show less.
	 * @param job a job that holds accelerators
	 * @return the run time
	 */
	static Duration of(JobRecord job) {
		if (!job.spec().checkpointable()) {
			return Duration.ZERO;
		}
		GangLease lease = job.lease().orElseThrow();
		Optional<Instant> requested = lease.checkpointAt().filter((at) -> lease.allMembers(GangMember::saved));
		if (requested.isEmpty() || lease.startedAt().isEmpty()) {
			return job.checkpointed();
		}
		return max(job.checkpointed(),
				job.checkpointedBefore().plus(Duration.between(lease.startedAt().get(), requested.get())));
	}

	private static Duration max(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

}
