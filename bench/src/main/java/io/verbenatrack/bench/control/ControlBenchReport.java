package io.verbenatrack.bench.control;

import java.util.List;

/**
 * What was measured of the control log.
 *
 * @param seed the first seed
 * @param schedules how many schedules ran
 * @param violations what did not hold, with the seed
 * @param openVerdicts how many histories were too hard to check
 * @param configurationOperations how many operations on the configuration were checked
 * @param claimOperations how many operations on claims were checked
 * @param resumes how followers went on under another leader
 * @param failover from the last change under the old leader to the first under the new
 * @param inForce from acceptance to in force on all instances that admit work
 * @param log durable changes a second
 * @param recovery restart times by length of the log
 * @param traffic bytes between replicas, by number of replicas
 */
public record ControlBenchReport(long seed, int schedules, List<String> violations, int openVerdicts,
		long configurationOperations, long claimOperations, Resumes resumes, List<Failover> failover, Quantiles inForce,
		LogThroughput log, List<Recovery> recovery, List<Traffic> traffic) {

	/**
	 * Times in milliseconds.
	 *
	 * @param samples how many
	 * @param p50Millis the median
	 * @param p99Millis the 99th percentile
	 * @param maximumMillis the largest
	 */
	public record Quantiles(long samples, double p50Millis, double p99Millis, double maximumMillis) {

	}

	/**
	 * How followers went on under another leader.
	 *
	 * @param total how often
	 * @param wrongWithoutCheck how often the last index alone would have been wrong
	 * @param wrongWithCheck how often it was wrong although checked
	 * @param unknown how often the leader's history no longer reached back so far
	 */
	public record Resumes(long total, long wrongWithoutCheck, long wrongWithCheck, long unknown) {

	}

	/**
	 * Failover at links of a certain length, in virtual time.
	 *
	 * @param linkMillis one way between replicas
	 * @param cause what happened to the leader
	 * @param gap from the last good change to the next
	 */
	public record Failover(double linkMillis, String cause, Quantiles gap) {

	}

	/**
	 * Durable changes a second of one replica on this machine's disk.
	 *
	 * @param machineSyncsPerSecond small appends, each synced, without a replica
	 * @param groupCommitPerSecond with group commit
	 * @param singleCommitPerSecond without
	 * @param proposers how many changes were under way at once
	 */
	public record LogThroughput(double machineSyncsPerSecond, double groupCommitPerSecond, double singleCommitPerSecond,
			int proposers) {

	}

	/**
	 * A restart.
	 *
	 * @param entries how many entries the log held, without a snapshot
	 * @param millis until the replica led with all of them applied
	 * @param heapMegabytes heap in use after it, collected
	 */
	public record Recovery(int entries, double millis, double heapMegabytes) {

	}

	/**
	 * What replicas send, messages and their frames, without TCP and IP headers.
	 *
	 * @param replicas how many replicas
	 * @param changesPerSecond how many changes a second
	 * @param leaderBytesPerSecond sent by the leader
	 * @param followerBytesPerSecond sent by each follower
	 */
	public record Traffic(int replicas, double changesPerSecond, double leaderBytesPerSecond,
			double followerBytesPerSecond) {

	}

}
