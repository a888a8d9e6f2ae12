package io.verbenatrack.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs schedules in parallel.
 */
final class ScheduleRuns {

	private ScheduleRuns() {
	}

	/**
	 * Runs schedules with consecutive seeds.
	 * @param shape the size of each schedule
	 * @param firstSeed the first seed
	 * @param count the number of schedules
	 * @param threads the number of schedules to run in parallel
	 * @return the results in the order of the seeds
	 */
	static List<ScheduleResult> run(ScheduleSize shape, long firstSeed, int count, int threads) {
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		try {
			List<Future<ScheduleResult>> futures = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				long seed = firstSeed + i;
				futures.add(executor.submit(() -> run(shape, seed)));
			}
			List<ScheduleResult> results = new ArrayList<>();
			for (Future<ScheduleResult> future : futures) {
				results.add(future.get());
			}
			return results;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("A schedule failed. Run it alone with its seed.", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The run was interrupted. Start it again.", ex);
		}
		finally {
			executor.shutdownNow();
		}
	}

	/**
	 * Runs one schedule.
	 * @param shape the size of the schedule
	 * @param seed the seed of the schedule
	 * @return the result; an exception of the code under test counts as a violation
	 */
	static ScheduleResult run(ScheduleSize shape, long seed) {
		Schedule schedule = new Schedule(seed, shape);
		try {
			return schedule.run(RandomFaultPlans.generate(seed, shape.replicas()));
		}
		catch (RuntimeException ex) {
			schedule.cluster().monitor().recordViolation(ex + " at " + ex.getStackTrace()[0]);
			return schedule.partialResult();
		}
	}

}
