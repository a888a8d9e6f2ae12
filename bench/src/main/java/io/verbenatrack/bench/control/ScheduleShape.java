package io.verbenatrack.bench.control;

import java.time.Duration;

/**
 * How large a schedule is.
 *
 * @param replicas how many replicas
 * @param instances how many instances hold configuration leases
 * @param requests how many requests are claimed
 * @param entriesBetweenSnapshots how often snapshots are taken
 * @param think between two operations of one operator or entry
 */
record ScheduleShape(int replicas, int instances, int requests, int entriesBetweenSnapshots, Duration think) {

	/** Three replicas under a few operations a second. */
	static final ScheduleShape USUAL = new ScheduleShape(3, 3, 6, 12, Duration.ofMillis(250));

	/**
	 * Five voters that grow from three, and a learner that takes a silent one's place.
	 */
	static final ScheduleShape GROWN = new ScheduleShape(6, 3, 6, 12, Duration.ofMillis(250));

}
