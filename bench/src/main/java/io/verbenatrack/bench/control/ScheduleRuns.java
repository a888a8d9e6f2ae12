package io.verbenatrack.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs many schedules with seeds that follow each other.
 */
final class ScheduleRuns {

	private ScheduleRuns() {
	}

	/**
	 * Runs schedules.
	 * @param shape how large each is
	 * @param firstSeed the first seed
	 * @param count how many
	 * @param threads how many run at once
	 * @return their results by seed
	 */
	static List<ScheduleResult> run(ScheduleShape shape, long firstSeed, int count, int threads) {
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
	 * @param shape how large it is
	 * @param seed its seed
	 * @return its result; an exception of the code under test is a violation
	 */
	static ScheduleResult run(ScheduleShape shape, long seed) {
		Schedule schedule = new Schedule(seed, shape);
		try {
			return schedule.run(RandomPlans.draw(seed, shape.replicas()));
		}
		catch (RuntimeException ex) {
			schedule.cluster().monitor().violate(ex + " at " + ex.getStackTrace()[0]);
			return schedule.unfinished();
		}
	}

}
