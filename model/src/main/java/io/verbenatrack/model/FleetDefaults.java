package io.verbenatrack.model;

import java.time.Duration;

/**
 * The policy that applies to the whole fleet unless an exception says otherwise.
 *
 * @param completionTimeWeight how much completion time counts, from 0 to 1; fragmentation
 * counts for the rest
 * @param checkpointGrace how long a borrower may take to save its progress
 * @param leaseDuration how long a worker may go on without renewal
 * @param quarantineAfterFailures consecutive failures that quarantine a worker
 * @param quarantineProbation how long a quarantined worker waits before it is tried again
 * @param quarantineMaximumShare the largest share of the fleet in quarantine, from 0 to 1
 * @param refuseAfterWorkers failures on that many good workers refuse a job for good
 * @param backfill whether later jobs may start ahead of a waiting gang that they do not
 * delay
 */
public record FleetDefaults(double completionTimeWeight, Duration checkpointGrace, Duration leaseDuration,
		int quarantineAfterFailures, Duration quarantineProbation, double quarantineMaximumShare,
		int refuseAfterWorkers, boolean backfill) {

	/** The defaults of a fleet whose operators declare none. */
	public static final FleetDefaults STANDARD = new FleetDefaults(0.5, Duration.ofSeconds(1), Duration.ofSeconds(10),
			3, Duration.ofMinutes(10), 0.2, 3, true);

}
