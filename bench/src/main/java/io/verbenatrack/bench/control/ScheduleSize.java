package io.verbenatrack.bench.control;

import java.time.Duration;

/**
 * Size of a schedule.
 *
 * @param replicas the number of replicas
 * @param instances the number of instances that hold configuration leases
 * @param requests the number of requests that are claimed
 * @param entriesBetweenSnapshots the number of log entries between two snapshots
 * @param meanPause the mean pause between two operations of one operator or entry
 */
record ScheduleSize(int replicas, int instances, int requests, int entriesBetweenSnapshots, Duration meanPause) {

	/** Three replicas with a few operations per second. */
	static final ScheduleSize THREE_REPLICAS = new ScheduleSize(3, 3, 6, 12, Duration.ofMillis(250));

	/**
	 * Six replicas: the cluster grows from three to five voters, and a learner replaces a
	 * voter that does not respond.
	 */
	static final ScheduleSize SIX_REPLICAS = new ScheduleSize(6, 3, 6, 12, Duration.ofMillis(250));

	/** Three replicas that are replaced while the schedule runs. */
	static final ScheduleSize THREE_REPLACED = new ScheduleSize(3, 3, 12, 12, Duration.ofMillis(400));

	/** Five voters, of which the first three form the cluster, that are replaced. */
	static final ScheduleSize FIVE_REPLACED = new ScheduleSize(5, 3, 12, 12, Duration.ofMillis(400));

}
