package io.verbenatrack.bench.capacity;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * Measures the memory of accepted jobs by their number and by the occurrences of each:
 * the heap and the snapshot of a replica, and the time to replay its log.
 */
public final class JobMemoryProbe {

	/** Jobs and occurrences of each job. */
	private static final int[][] SIZES = { { 1000, 1 }, { 10_000, 1 }, { 100_000, 1 }, { 10, 20_000 }, { 1000, 20 },
			{ 1000, 20_000 }, { 10_000, 20_000 }, { 100_000, 20_000 } };

	private static final int COLLECTIONS = 3;

	private static final long PERIOD_MILLIS = 30_000;

	private JobMemoryProbe() {
	}

	/**
	 * Prints a row of a table for each size.
	 * @param arguments the maximum number of jobs times occurrences to measure, or none
	 * for all
	 * @throws IOException if a snapshot cannot be encoded
	 */
	public static void main(String[] arguments) throws IOException {
		long maxTasks = (arguments.length > 0) ? Long.parseLong(arguments[0]) : Long.MAX_VALUE;
		System.out.println("| jobs | times a job | heap bytes a job | snapshot bytes a job | replay in us a job |");
		System.out.println("| --- | --- | --- | --- | --- |");
		for (int[] size : SIZES) {
			if ((long) size[0] * size[1] <= maxTasks) {
				measure(size[0], size[1]);
			}
		}
	}

	private static void measure(int jobs, int times) throws IOException {
		FleetCodec codec = new FleetCodec();
		List<byte[]> log = new ArrayList<>();
		for (int job = 0; job < jobs; job++) {
			log.add(codec.encode(new FleetBatch(1, job + 1, List.of(accept(job, times)))));
		}
		long before = usedBytes();
		long startNanos = System.nanoTime();
		FleetState state = new FleetState();
		log.forEach((batch) -> state.apply(codec.batch(batch)));
		long replayNanos = System.nanoTime() - startNanos;
		long heapBytes = usedBytes() - before;
		ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
		codec.snapshot(state, snapshot);
		System.out.printf("| %,d | %,d | %,d | %,d | %,d |%n", jobs, times, heapBytes / jobs, snapshot.size() / jobs,
				TimeUnit.NANOSECONDS.toMicros(replayNanos) / jobs);
	}

	private static FleetCommand accept(int job, int times) {
		StepSpec step = new StepSpec(1, new Resources(5600, 1024, 0), 1000, List.of(), false, false, Optional.empty(),
				Optional.empty(), 0, false, false, false);
		return new FleetCommand.AcceptJob(new JobId("%016x".formatted(job)), "queue", new AccountId("account"),
				new JobPlan("plan", List.of(step), (times > 1) ? 1 : 0, PERIOD_MILLIS, times), 1);
	}

	private static long usedBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int collection = 0; collection < COLLECTIONS; collection++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
