package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

import io.verbenatrack.bench.control.ControlBenchReport.Failover;
import io.verbenatrack.bench.control.ControlBenchReport.Quantiles;
import io.verbenatrack.bench.control.ControlBenchReport.Traffic;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.state.configuration.ConfigurationCodec;

/**
 * Measures failover times and replication traffic in virtual time.
 */
final class FailoverMeasurement {

	private static final long SETTLE_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long MEASURED_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long WRITE_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

	private static final long FAULT_NANOS = Duration.ofSeconds(10).toNanos();

	private static final double MEASURED_SECONDS = MEASURED_NANOS / 1e9;

	/** Framing bytes that gRPC and HTTP/2 add to each message. */
	private static final int FRAME_BYTES = 14;

	private FailoverMeasurement() {
	}

	static Failover measureFailover(Duration link, FaultKind cause, long seed, int runs) {
		Histogram gaps = new Histogram(3);
		for (int i = 0; i < runs; i++) {
			gaps.recordValue(longestCommitGap(link, cause, seed + i) / 1_000);
		}
		return new Failover(link.toNanos() / 1e6, cause.fileName(), quantiles(gaps));
	}

	static Quantiles quantiles(Histogram micros) {
		return new Quantiles(micros.getTotalCount(), micros.getValueAtPercentile(50) / 1e3,
				micros.getValueAtPercentile(99) / 1e3, micros.getMaxValue() / 1e3);
	}

	private static long longestCommitGap(Duration link, FaultKind cause, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedCluster cluster = new SimulatedCluster(3, ScheduleSize.THREE_REPLICAS.entriesBetweenSnapshots(),
				random.split());
		cluster.network().latency(link);
		cluster.start();
		List<Long> committed = new ArrayList<>();
		ReplicaClient client = new ReplicaClient(cluster, random.split());
		proposeRepeatedly(cluster, client, committed, 0);
		long faultNanos = SETTLE_NANOS + random.nextLong(Duration.ofMillis(200).toNanos());
		cluster.clock().schedule(faultNanos, () -> {
			FaultInjector injector = new FaultInjector(cluster, random.split());
			injector.inject(cause, cluster.leader().orElse(cluster.replicas().get(0)), FAULT_NANOS);
		});
		run(cluster, SETTLE_NANOS + MEASURED_NANOS);
		long longest = 0;
		for (int i = 1; i < committed.size(); i++) {
			if (committed.get(i) > faultNanos) {
				longest = Math.max(longest, committed.get(i) - committed.get(i - 1));
			}
		}
		return longest;
	}

	private static void proposeRepeatedly(SimulatedCluster cluster, ReplicaClient client, List<Long> committed,
			int number) {
		byte[] command = SimulatedStateMachine
			.configurationCommand(ConfigurationCodec.change(new ChangeId("c" + number), "bench", -1, new byte[0]));
		Optional<SimulatedReplica> leader = cluster.leader();
		leader.ifPresent((replica) -> replica.propose(command, (outcome) -> {
			if (outcome instanceof ProposalOutcome.Committed) {
				committed.add(cluster.clock().nowNanos());
			}
		}));
		cluster.clock().schedule(WRITE_INTERVAL_NANOS, () -> proposeRepeatedly(cluster, client, committed, number + 1));
	}

	private static void run(SimulatedCluster cluster, long untilNanos) {
		while (cluster.clock().runNext(untilNanos)) {
			continue;
		}
	}

	static Traffic measureTraffic(int replicas, Duration changeInterval, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedCluster cluster = new SimulatedCluster(replicas, 10_000, random.split());
		cluster.start();
		run(cluster, SETTLE_NANOS);
		if (!changeInterval.isZero()) {
			proposeAtInterval(cluster, changeInterval, 0);
		}
		long leaderBefore = sentBytes(cluster, true);
		long followersBefore = sentBytes(cluster, false);
		run(cluster, SETTLE_NANOS + MEASURED_NANOS);
		double leaderBytes = (sentBytes(cluster, true) - leaderBefore) / MEASURED_SECONDS;
		double followerBytes = (sentBytes(cluster, false) - followersBefore) / MEASURED_SECONDS / (replicas - 1);
		double rate = changeInterval.isZero() ? 0 : 1e9 / changeInterval.toNanos();
		return new Traffic(replicas, rate, leaderBytes, followerBytes);
	}

	private static void proposeAtInterval(SimulatedCluster cluster, Duration interval, int number) {
		byte[] command = SimulatedStateMachine
			.configurationCommand(ConfigurationCodec.change(new ChangeId("c" + number), "bench", -1, new byte[0]));
		cluster.leader().ifPresent((leader) -> leader.propose(command, (outcome) -> {
		}));
		cluster.clock().schedule(interval.toNanos(), () -> proposeAtInterval(cluster, interval, number + 1));
	}

	private static long sentBytes(SimulatedCluster cluster, boolean byLeader) {
		String leader = cluster.leader().map((replica) -> replica.instance().value()).orElse("");
		return cluster.network().sentBytes(FRAME_BYTES, (sender) -> sender.equals(leader) == byLeader);
	}

}
