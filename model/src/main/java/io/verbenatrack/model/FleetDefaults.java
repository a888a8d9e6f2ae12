package io.verbenatrack.model;

import java.time.Duration;

/**
 * The fleet-wide policy, which applies unless an exception overrides it.
 *
 * @param completionTimeWeight the weight of completion time in placement, from 0 to 1;
 * the remainder is the weight of fragmentation
 * @param checkpointGrace how long a job on borrowed accelerators may take to checkpoint
 * @param leaseDuration how long a worker may keep running without renewing its lease
 * @param quarantineAfterFailures the number of consecutive failures after which a worker
 * is quarantined
 * @param quarantineProbation how long a worker stays in quarantine before it is tried
 * again
 * @param quarantineMaximumShare the maximum share of the fleet in quarantine, from 0 to 1
 * @param refuseAfterWorkers the number of healthy workers on which a job must fail before
 * it is permanently refused
 * @param backfill whether later jobs may start before a waiting gang if they do not delay
 * it
 */
public record FleetDefaults(double completionTimeWeight, Duration checkpointGrace, Duration leaseDuration,
		int quarantineAfterFailures, Duration quarantineProbation, double quarantineMaximumShare,
		int refuseAfterWorkers, boolean backfill) {

	/** The policy of a fleet whose operators declare no defaults. */
	public static final FleetDefaults STANDARD = new FleetDefaults(0.5, Duration.ofSeconds(1), Duration.ofSeconds(10),
			3, Duration.ofMinutes(10), 0.2, 3, true);

}
