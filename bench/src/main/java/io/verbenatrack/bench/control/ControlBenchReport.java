package io.verbenatrack.bench.control;

import java.util.List;

/**
 * Results of the control bench.
 *
 * @param seed the first seed
 * @param schedules the number of schedules that ran
 * @param violations the violations, each with the seed of its schedule
 * @param openVerdicts the number of histories whose linearizability check was
 * inconclusive
 * @param configurationOperations the number of configuration operations checked
 * @param claimOperations the number of claim operations checked
 * @param resumes statistics on how followers resumed replication under a new leader
 * @param failover the time between the last commit before and the first commit after a
 * leader failure
 * @param inForce the time from the acceptance of a change until all instances that admit
 * work have applied it
 * @param log the throughput of the log
 * @param recovery the restart times by log length
 * @param traffic the traffic between replicas, by number of replicas
 */
public record ControlBenchReport(long seed, int schedules, List<String> violations, int openVerdicts,
		long configurationOperations, long claimOperations, Resumes resumes, List<Failover> failover, Quantiles inForce,
		LogThroughput log, List<Recovery> recovery, List<Traffic> traffic) {

	/**
	 * Distribution of times, in milliseconds.
	 *
	 * @param samples the number of samples
	 * @param p50Millis the median
	 * @param p99Millis the 99th percentile
	 * @param maximumMillis the maximum
	 */
	public record Quantiles(long samples, double p50Millis, double p99Millis, double maximumMillis) {

	}

	/**
	 * Statistics on how followers resumed replication under a new leader.
	 *
	 * @param total the number of resumptions
	 * @param wrongWithoutCheck how often resuming from the last index alone, without
	 * comparing terms, would have been wrong
	 * @param wrongWithCheck the number of schedules in which committed entries differed
	 * although terms were compared
	 * @param unknown how often the leader had already compacted the entry
	 */
	public record Resumes(long total, long wrongWithoutCheck, long wrongWithCheck, long unknown) {

	}

	/**
	 * Failover times at one link latency, in virtual time.
	 *
	 * @param linkMillis the one-way latency between replicas, in milliseconds
	 * @param cause the fault injected into the leader
	 * @param gap the longest time between two successive commits after the fault
	 */
	public record Failover(double linkMillis, String cause, Quantiles gap) {

	}

	/**
	 * Throughput of one replica on the local disk, in durable changes per second.
	 *
	 * @param machineSyncsPerSecond small synced appends per second, without a replica
	 * @param groupCommitPerSecond changes per second with group commit
	 * @param singleCommitPerSecond changes per second without group commit
	 * @param proposers the number of concurrent proposals
	 */
	public record LogThroughput(double machineSyncsPerSecond, double groupCommitPerSecond, double singleCommitPerSecond,
			int proposers) {

	}

	/**
	 * Result of one restart.
	 *
	 * @param entries the number of log entries; there is no snapshot
	 * @param millis the time until the replica was leader and had applied all entries, in
	 * milliseconds
	 * @param heapMegabytes the heap in use after a garbage collection, in MiB
	 */
	public record Recovery(int entries, double millis, double heapMegabytes) {

	}

	/**
	 * Traffic between replicas, with HTTP/2 framing and without TCP and IP headers.
	 *
	 * @param replicas the number of replicas
	 * @param changesPerSecond the number of changes per second
	 * @param leaderBytesPerSecond the bytes per second that the leader sends
	 * @param followerBytesPerSecond the bytes per second that each follower sends
	 */
	public record Traffic(int replicas, double changesPerSecond, double leaderBytesPerSecond,
			double followerBytesPerSecond) {

	}

}
