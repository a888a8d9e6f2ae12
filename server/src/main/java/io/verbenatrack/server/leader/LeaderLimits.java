package io.verbenatrack.server.leader;

import java.time.Duration;

/**
 * Sizes and durations of the leading replica's duty.
 *
 * @param ringCapacity commands that may wait
 * @param workers workers that may be announced
 * @param unfinishedJobs jobs that may be accepted and not finished
 * @param unfinishedJobsPerAccount the same for one client account
 * @param workerLease how long a worker may go on without renewal
 */
public record LeaderLimits(int ringCapacity, int workers, int unfinishedJobs, int unfinishedJobsPerAccount,
		Duration workerLease) {

}
