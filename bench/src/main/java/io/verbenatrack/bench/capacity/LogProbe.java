package io.verbenatrack.bench.capacity;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.driver.Replica;

/**
 * Measures the traffic and CPU time of the replicated log, idle and under proposals.
 */
final class LogProbe {

	private static final int PROPOSALS = 200;

	private static final int COMMAND_BYTES = 300;

	private static final double BYTES_PER_KB = 1_000;

	private static final String SIZE_UNIT = "replicas";

	private final MeasurementCollector collector;

	private final int runs;

	private final Duration window;

	LogProbe(MeasurementCollector collector, CapacityOptions options) {
		this.collector = collector;
		this.runs = options.runs();
		this.window = options.window();
	}

	void run(int replicas) throws Exception {
		try (LogGroup group = new LogGroup(replicas)) {
			Replica leader = group.awaitLeader();
			propose(leader);
			for (int run = 0; run < this.runs; run++) {
				measureIdle(group, group.awaitLeader(), replicas);
				measureProposals(group, group.awaitLeader(), replicas);
			}
		}
	}

	private void measureIdle(LogGroup group, Replica leader, int replicas) throws Exception {
		CountingTransport sent = group.transport(leader);
		long totalBytesBefore = totalFramedBytes(group);
		long leaderBytesBefore = sent.framedBytes();
		long messagesBefore = sent.messages();
		long cpuNanosBefore = ProcessUsage.cpuNanos(ProcessHandle.current().pid());
		long startNanos = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(this.window.toNanos());
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		double cpuPercent = (ProcessUsage.cpuNanos(ProcessHandle.current().pid()) - cpuNanosBefore) / 1e7 / seconds
				/ replicas;
		double received = (totalFramedBytes(group) - totalBytesBefore) - (sent.framedBytes() - leaderBytesBefore);
		add("idle log: messages that the leader sends", "messages/s", replicas,
				(sent.messages() - messagesBefore) / seconds);
		add("idle log: sent and received by the leader", "KB/s", replicas,
				((sent.framedBytes() - leaderBytesBefore) + received) / seconds / BYTES_PER_KB);
		add("idle log: processor time of each replica", "% of a core", replicas, cpuPercent);
	}

	private void measureProposals(LogGroup group, Replica leader, int replicas) throws Exception {
		long bytesBefore = group.transport(leader).framedBytes();
		long cpuNanosBefore = ProcessUsage.cpuNanos(ProcessHandle.current().pid());
		long startNanos = System.nanoTime();
		propose(leader);
		long elapsedNanos = System.nanoTime() - startNanos;
		add("proposal of 300 bytes, one at a time: time to commit", "ms", replicas, elapsedNanos / 1e6 / PROPOSALS);
		add("proposal of 300 bytes: sent by the leader, heartbeats included", "bytes", replicas,
				(group.transport(leader).framedBytes() - bytesBefore) / (double) PROPOSALS);
		add("proposal of 300 bytes: processor time of all replicas", "µs", replicas,
				(ProcessUsage.cpuNanos(ProcessHandle.current().pid()) - cpuNanosBefore) / 1e3 / PROPOSALS);
	}

	private static void propose(Replica leader) throws Exception {
		for (int i = 0; i < PROPOSALS; i++) {
			ProposalOutcome proposal = leader.propose(new byte[COMMAND_BYTES]).get(10, TimeUnit.SECONDS);
			if (!(proposal instanceof ProposalOutcome.Committed)) {
				throw new IllegalStateException(
						"A proposal was not committed: " + proposal + ". Run the bench on an idle machine.");
			}
		}
	}

	private static long totalFramedBytes(LogGroup group) {
		return group.transports().stream().mapToLong(CountingTransport::framedBytes).sum();
	}

	private void add(String name, String unit, int replicas, double value) {
		this.collector.add(name, unit, SIZE_UNIT, replicas, value);
	}

}
