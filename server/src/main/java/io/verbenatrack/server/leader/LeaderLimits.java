package io.verbenatrack.server.leader;

import java.time.Duration;

/**
 * The limits of the leading replica.
 *
 * @param ringCapacity the capacity of the command queue
 * @param workers the maximum number of workers
 * @param unfinishedJobs the maximum number of accepted jobs that have not ended
 * @param unfinishedJobsPerAccount the maximum number of such jobs of one client account
 * @param workerLease how long a worker may run without renewing its lease
 */
public record LeaderLimits(int ringCapacity, int workers, int unfinishedJobs, int unfinishedJobsPerAccount,
		Duration workerLease) {

}
