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

	private static final long SPAN_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long EVERY_NANOS = Duration.ofMillis(5).toNanos();

	private static final long CUT_OFF_NANOS = Duration.ofSeconds(10).toNanos();

	private static final double SECONDS = SPAN_NANOS / 1e9;

	/** Framing bytes that gRPC and HTTP/2 add to each message. */
	private static final int FRAME_BYTES = 14;

	private FailoverMeasurement() {
	}

	static Failover measure(Duration link, FaultKind cause, long seed, int runs) {
		Histogram gaps = new Histogram(3);
		for (int i = 0; i < runs; i++) {
			gaps.recordValue(gap(link, cause, seed + i) / 1_000);
		}
		return new Failover(link.toNanos() / 1e6, cause.fileName(), quantiles(gaps));
	}

	static Quantiles quantiles(Histogram micros) {
		return new Quantiles(micros.getTotalCount(), micros.getValueAtPercentile(50) / 1e3,
				micros.getValueAtPercentile(99) / 1e3, micros.getMaxValue() / 1e3);
	}

	private static long gap(Duration link, FaultKind cause, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedCluster cluster = new SimulatedCluster(3, ScheduleShape.USUAL.entriesBetweenSnapshots(),
				random.split());
		cluster.network().latency(link);
		cluster.start();
		List<Long> committed = new ArrayList<>();
		ReplicaCalls calls = new ReplicaCalls(cluster, random.split());
		write(cluster, calls, committed, 0);
		long strikes = SETTLE_NANOS + random.nextLong(Duration.ofMillis(200).toNanos());
		cluster.time().after(strikes, () -> {
			FaultInjector injector = new FaultInjector(cluster, random.split());
			injector.inject(cause, cluster.leader().orElse(cluster.replicas().get(0)), CUT_OFF_NANOS);
		});
		run(cluster, SETTLE_NANOS + SPAN_NANOS);
		long longest = 0;
		for (int i = 1; i < committed.size(); i++) {
			if (committed.get(i) > strikes) {
				longest = Math.max(longest, committed.get(i) - committed.get(i - 1));
			}
		}
		return longest;
	}

	private static void write(SimulatedCluster cluster, ReplicaCalls calls, List<Long> committed, int number) {
		byte[] command = ControlMachine
			.configurationCommand(ConfigurationCodec.change(new ChangeId("c" + number), "bench", -1, new byte[0]));
		Optional<SimulatedReplica> leader = cluster.leader();
		leader.ifPresent((replica) -> replica.propose(command, (outcome) -> {
			if (outcome instanceof ProposalOutcome.Committed) {
				committed.add(cluster.time().nowNanos());
			}
		}));
		cluster.time().after(EVERY_NANOS, () -> write(cluster, calls, committed, number + 1));
	}

	private static void run(SimulatedCluster cluster, long untilNanos) {
		while (cluster.time().step(untilNanos)) {
			continue;
		}
	}

	static Traffic traffic(int replicas, Duration everyChange, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedCluster cluster = new SimulatedCluster(replicas, 10_000, random.split());
		cluster.start();
		run(cluster, SETTLE_NANOS);
		if (!everyChange.isZero()) {
			change(cluster, everyChange, 0);
		}
		long leaderBefore = sent(cluster, true);
		long followersBefore = sent(cluster, false);
		run(cluster, SETTLE_NANOS + SPAN_NANOS);
		double leaderBytes = (sent(cluster, true) - leaderBefore) / SECONDS;
		double followerBytes = (sent(cluster, false) - followersBefore) / SECONDS / (replicas - 1);
		double rate = everyChange.isZero() ? 0 : 1e9 / everyChange.toNanos();
		return new Traffic(replicas, rate, leaderBytes, followerBytes);
	}

	private static void change(SimulatedCluster cluster, Duration every, int number) {
		byte[] command = ControlMachine
			.configurationCommand(ConfigurationCodec.change(new ChangeId("c" + number), "bench", -1, new byte[0]));
		cluster.leader().ifPresent((leader) -> leader.propose(command, (outcome) -> {
		}));
		cluster.time().after(every.toNanos(), () -> change(cluster, every, number + 1));
	}

	private static long sent(SimulatedCluster cluster, boolean byLeader) {
		String leader = cluster.leader().map((replica) -> replica.instance().value()).orElse("");
		return cluster.network().sentBytes(FRAME_BYTES, (sender) -> sender.equals(leader) == byLeader);
	}

}
