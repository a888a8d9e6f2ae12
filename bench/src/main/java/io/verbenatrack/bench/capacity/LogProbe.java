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

	private static final String SIZE = "replicas";

	private final Points points;

	private final int runs;

	private final Duration window;

	LogProbe(Points points, CapacityOptions options) {
		this.points = points;
		this.runs = options.runs();
		this.window = options.window();
	}

	void run(int replicas) throws Exception {
		try (LogGroup group = new LogGroup(replicas)) {
			Replica leader = group.awaitLeader();
			propose(leader);
			for (int run = 0; run < this.runs; run++) {
				idle(group, group.awaitLeader(), replicas);
				busy(group, group.awaitLeader(), replicas);
			}
		}
	}

	private void idle(LogGroup group, Replica leader, int replicas) throws Exception {
		CountingTransport sent = group.transport(leader);
		long all = framed(group);
		long own = sent.framedBytes();
		long messages = sent.messages();
		long cpu = ProcessFigures.cpuNanos(ProcessHandle.current().pid());
		long started = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(this.window.toNanos());
		double seconds = (System.nanoTime() - started) / 1e9;
		double share = (ProcessFigures.cpuNanos(ProcessHandle.current().pid()) - cpu) / 1e7 / seconds / replicas;
		double received = (framed(group) - all) - (sent.framedBytes() - own);
		add("idle log: messages that the leader sends", "messages/s", replicas, (sent.messages() - messages) / seconds);
		add("idle log: sent and received by the leader", "KB/s", replicas,
				((sent.framedBytes() - own) + received) / seconds / BYTES_PER_KB);
		add("idle log: processor time of each replica", "% of a core", replicas, share);
	}

	private void busy(LogGroup group, Replica leader, int replicas) throws Exception {
		long bytes = group.transport(leader).framedBytes();
		long cpu = ProcessFigures.cpuNanos(ProcessHandle.current().pid());
		long started = System.nanoTime();
		propose(leader);
		long nanos = System.nanoTime() - started;
		add("proposal of 300 bytes, one at a time: time to commit", "ms", replicas, nanos / 1e6 / PROPOSALS);
		add("proposal of 300 bytes: sent by the leader, heartbeats included", "bytes", replicas,
				(group.transport(leader).framedBytes() - bytes) / (double) PROPOSALS);
		add("proposal of 300 bytes: processor time of all replicas", "µs", replicas,
				(ProcessFigures.cpuNanos(ProcessHandle.current().pid()) - cpu) / 1e3 / PROPOSALS);
	}

	private static void propose(Replica leader) throws Exception {
		for (int i = 0; i < PROPOSALS; i++) {
			ProposalOutcome proposal = leader.propose(new byte[COMMAND_BYTES]).get(10, TimeUnit.SECONDS);
			if (!(proposal instanceof ProposalOutcome.Committed)) {
				throw new IllegalStateException(
						"A proposal ended as " + proposal + ". Run the bench while the machine is quiet.");
			}
		}
	}

	private static long framed(LogGroup group) {
		return group.transports().stream().mapToLong(CountingTransport::framedBytes).sum();
	}

	private void add(String name, String unit, int replicas, double value) {
		this.points.add(name, unit, SIZE, replicas, value);
	}

}
