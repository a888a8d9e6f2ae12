package io.verbenatrack.bench.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import io.verbenatrack.bench.control.ControlBenchReport.LogThroughput;
import io.verbenatrack.bench.control.ControlBenchReport.Recovery;
import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.control.driver.ReplicaTransport;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;

/**
 * Measures throughput and recovery of a single replica on the local disk.
 */
final class LogMeasurement {

	private static final int PROPOSERS = 128;

	private static final int COMMAND_BYTES = 200;

	private static final Duration MEASURED_TIME = Duration.ofSeconds(2);

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double BYTES_PER_MIB = 1 << 20;

	private static final ReplicaPeer SELF = new ReplicaPeer(new InstanceId("measured"), "127.0.0.1", 1);

	private final Path folder;

	LogMeasurement(Path folder) {
		this.folder = folder;
	}

	LogThroughput measureThroughput() throws IOException {
		return new LogThroughput(syncsPerSecond(), changesPerSecond(true), changesPerSecond(false), PROPOSERS);
	}

	private double syncsPerSecond() throws IOException {
		Path file = Files.createTempFile(this.folder, "sync", ".bytes");
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
			long count = 0;
			long start = System.nanoTime();
			while (System.nanoTime() - start < MEASURED_TIME.toNanos()) {
				channel.write(ByteBuffer.allocate(COMMAND_BYTES));
				channel.force(false);
				count++;
			}
			return perSecond(count, System.nanoTime() - start);
		}
		finally {
			Files.delete(file);
		}
	}

	private static double perSecond(long count, long nanos) {
		return count * (double) Duration.ofSeconds(1).toNanos() / nanos;
	}

	private double changesPerSecond(boolean groupCommit) throws IOException {
		Path data = Files.createTempDirectory(this.folder, "log");
		try (Replica replica = start(data, groupCommit, ReplicaLimits.DEFAULT, new CountingStateMachine())) {
			AtomicLong committed = new AtomicLong();
			Semaphore permits = new Semaphore(PROPOSERS);
			long start = System.nanoTime();
			while (System.nanoTime() - start < MEASURED_TIME.toNanos()) {
				permits.acquireUninterruptibly();
				replica.propose(new byte[COMMAND_BYTES]).thenAccept((outcome) -> {
					if (outcome instanceof ProposalOutcome.Committed) {
						committed.incrementAndGet();
					}
					permits.release();
				});
			}
			permits.acquireUninterruptibly(PROPOSERS);
			return perSecond(committed.get(), System.nanoTime() - start);
		}
		finally {
			delete(data);
		}
	}

	private static Replica start(Path data, boolean groupCommit, ReplicaLimits limits, StateMachine machine)
			throws IOException {
		ReplicaSettings settings = new ReplicaSettings("bench", SELF, List.of(SELF), data, ReplicaTimings.DEFAULT,
				limits, MembershipPolicy.DEFAULT, groupCommit);
		Replica replica = Replica.start(settings, machine, ReplicaTransport.none(), (notice, detail) -> {
		}, LeaseClock.exact(MonotonicClock.system()));
		while (!replica.leads()) {
			LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
		}
		return replica;
	}

	/**
	 * Measures the restart of a replica whose log was never compacted.
	 * @param entries the number of entries in the log
	 * @return the restart time and the heap in use
	 * @throws IOException if the files cannot be read or written
	 */
	Recovery measureRecovery(int entries) throws IOException {
		ReplicaLimits limits = ReplicaLimits.DEFAULT
			.withLog(new LogLimits(Integer.MAX_VALUE, Long.MAX_VALUE, entries, Long.MAX_VALUE));
		Path data = Files.createTempDirectory(this.folder, "recovery");
		try {
			appendEntries(data, limits, entries);
			long start = System.nanoTime();
			try (Replica replica = start(data, true, limits, new CountingStateMachine())) {
				double millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
				System.gc();
				Runtime runtime = Runtime.getRuntime();
				double heap = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MIB;
				return new Recovery(entries, millis, heap);
			}
		}
		finally {
			delete(data);
		}
	}

	private static void appendEntries(Path data, ReplicaLimits limits, int entries) throws IOException {
		try (Replica replica = start(data, true, limits, new CountingStateMachine())) {
			Semaphore permits = new Semaphore(PROPOSERS);
			for (int i = 0; i < entries; i++) {
				permits.acquireUninterruptibly();
				replica.propose(new byte[COMMAND_BYTES]).thenRun(permits::release);
			}
			permits.acquireUninterruptibly(PROPOSERS);
		}
	}

	private static void delete(Path data) throws IOException {
		try (Stream<Path> files = Files.walk(data)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	private static final class CountingStateMachine implements StateMachine {

		private long count;

		@Override
		public byte[] apply(long index, byte[] command) {
			this.count++;
			return new byte[0];
		}

		@Override
		public void snapshot(OutputStream output) throws IOException {
			output.write(ByteBuffer.allocate(Long.BYTES).putLong(this.count).array());
		}

		@Override
		public void restore(InputStream snapshot) throws IOException {
			this.count = ByteBuffer.wrap(snapshot.readAllBytes()).getLong();
		}

	}

}
