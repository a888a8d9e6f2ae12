package io.verbenatrack.bench.fleet;

import java.util.List;
import java.util.stream.Stream;

/**
 * Load pattern: job classes, bursts and worker faults.
 *
 * @param name the name of the pattern
 * @param seconds the time over which jobs arrive, in seconds
 * @param factor the multiplier on the arrival rates of all classes
 * @param classes the job classes
 * @param bursts the periods with a higher arrival rate of one class
 * @param workerFaults the worker faults
 * @param size the size of the fleet
 * @param conditions the properties of the workers and of the estimates
 */
public record FleetLoad(String name, int seconds, double factor, List<JobClass> classes, List<Burst> bursts,
		List<WorkerFault> workerFaults, Size size, FleetConditions conditions) {

	private static final int[] GANG_ACCELERATORS = { 1, 2, 4, 8, 8 };

	private static final int WHOLE_WORKER = 8;

	private static final int[] ONE_ACCELERATOR = { 1 };

	/**
	 * Urgent small gangs, wide long-running gangs, and wide jobs of small tasks.
	 */
	private static final List<JobClass> MIXED = List.of(
			new JobClass("urgent", 0, 1.34, 2500, 0.5, 3.4, 21, 7500, 31_000, GANG_ACCELERATORS, true, 0.8, 0, 1.5, 800,
					4, 0.8),
			new JobClass("nightly", 1, 0.5, 8500, 0.3, 5, 8, 26_000, 140_000, GANG_ACCELERATORS, true, 0.6, 0.45, 3,
					1500, 3, 0.9),
			new JobClass("batch", 2, 0.518, 6100, 0.3, 16, 94, 5600, 29_000, ONE_ACCELERATOR, false, 0, 0.45, 3, 4000,
					1, 0.3));

	/**
	 * The classes of {@link #MIXED} with wider jobs and higher rates, for a larger fleet.
	 */
	private static final List<JobClass> WIDE = List.of(
			new JobClass("urgent", 0, 6.8, 2500, 0.5, 5.4, 32, 7500, 31_000, GANG_ACCELERATORS, true, 0.8, 0, 1.5, 800,
					4, 0.8),
			new JobClass("nightly", 1, 1.6, 8500, 0.3, 13, 78, 26_000, 140_000, GANG_ACCELERATORS, true, 0.6, 0.45, 3,
					1500, 3, 0.9),
			new JobClass("batch", 2, 1.95, 6100, 0.3, 39, 230, 5600, 29_000, ONE_ACCELERATOR, false, 0, 0.45, 3, 4000,
					1, 0.3));

	private static final Size SMALL = new Size(33, 4, 40, 60, 0, 5);

	private static final Size LARGE = new Size(245, 10, 120, 14, 12, 30);

	FleetLoad(String name, int seconds, double factor, List<JobClass> classes, List<Burst> bursts,
			List<WorkerFault> workerFaults, Size size) {
		this(name, seconds, factor, classes, bursts, workerFaults, size, FleetConditions.USUAL);
	}

	/**
	 * Returns the load pattern with a name.
	 * @param name the name
	 * @return the pattern
	 * @throws IllegalArgumentException if there is none; the message lists the names
	 */
	public static FleetLoad of(String name) {
		List<FleetLoad> known = Stream.concat(all().stream(), competing().stream()).toList();
		return known.stream()
			.filter((load) -> load.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("There is no load '" + name + "'. Use one of "
					+ known.stream().map(FleetLoad::name).toList() + "."));
	}

	/**
	 * Returns the load patterns of large fleets with uneven workers, wrong estimates, or
	 * a restart of all machines.
	 * @return the patterns
	 */
	public static List<FleetLoad> competing() {
		return CompetingLoads.all();
	}

	/**
	 * Returns the load patterns with estimates that are roughly right.
	 * @return the patterns
	 */
	public static List<FleetLoad> all() {
		return List.of(new FleetLoad("calm", 40, 0.65, MIXED, List.of(), List.of(), SMALL),
				new FleetLoad("urgent-burst", 40, 1.1, MIXED,
						List.of(new Burst("urgent", 10, 6, 2), new Burst("nightly", 11.5, 3, 2.3)), List.of(), SMALL),
				new FleetLoad("batch-wave", 40, 1, MIXED, List.of(new Burst("batch", 8, 4, 2.6)), List.of(), SMALL),
				new FleetLoad("failing-workers", 40, 0.9, MIXED, List.of(),
						List.of(new WorkerFault(WorkerFault.Kind.FAIL, 0.1, 8, 6)), SMALL),
				new FleetLoad("slow-workers", 40, 0.9, MIXED, List.of(),
						List.of(new WorkerFault(WorkerFault.Kind.SLOW, 0.17, 8, 7)), SMALL),
				new FleetLoad("stuck-workers", 40, 0.9, MIXED, List.of(),
						List.of(new WorkerFault(WorkerFault.Kind.STUCK, 0.12, 8, 5)), SMALL),
				new FleetLoad("lost-workers", 40, 0.9, MIXED, List.of(),
						List.of(new WorkerFault(WorkerFault.Kind.SILENT, 0.17, 8, 5)), SMALL),
				new FleetLoad("leaving-workers", 40, 1, MIXED, List.of(),
						List.of(new WorkerFault(WorkerFault.Kind.LEAVE, 0.1, 10, 30)), SMALL),
				new FleetLoad("wide-burst", 34, 1, WIDE,
						List.of(new Burst("urgent", 3.5, 6, 2.3), new Burst("nightly", 5, 3.7, 2.1)),
						List.of(new WorkerFault(WorkerFault.Kind.SILENT, 0.14, 5.7, 4)), LARGE));
	}

	/**
	 * Size of the fleet.
	 *
	 * @param workers the number of workers
	 * @param accounts the number of client accounts
	 * @param accountGuarantee the number of accelerators guaranteed to each client
	 * account
	 * @param drainSeconds the time for jobs to complete after arrivals end, in seconds
	 * @param initialJobs the number of jobs of each class that arrive at the start, to be
	 * multiplied by the priority of the class
	 * @param maximumWholeWorkerTasks the maximum number of tasks in a gang whose tasks
	 * each take a whole worker
	 */
	public record Size(int workers, int accounts, int accountGuarantee, int drainSeconds, int initialJobs,
			int maximumWholeWorkerTasks) {

		int maximumTasks(int accelerators, int maximum) {
			return (accelerators == WHOLE_WORKER) ? Math.min(this.maximumWholeWorkerTasks, maximum) : maximum;
		}

	}

	/**
	 * Period with a higher arrival rate of one job class.
	 *
	 * @param jobClass the name of the job class
	 * @param startSecond the start in seconds
	 * @param durationSeconds the duration in seconds
	 * @param factor the multiplier on the arrival rate
	 */
	public record Burst(String jobClass, double startSecond, double durationSeconds, double factor) {

	}

	/**
	 * Fault that affects a share of the workers.
	 *
	 * @param kind the kind of fault
	 * @param share the affected share of the workers, from 0 to 1
	 * @param startSecond the start in seconds
	 * @param durationSeconds the duration in seconds
	 */
	public record WorkerFault(Kind kind, double share, double startSecond, double durationSeconds) {

		/** Kinds of worker faults. */
		public enum Kind {

			/** Workers fail every task. */
			FAIL,

			/** Tasks take six times as long. */
			SLOW,

			/** Tasks make no progress. */
			STUCK,

			/** Workers send no reports. */
			SILENT,

			/** Workers drain. */
			LEAVE

		}

	}

}
