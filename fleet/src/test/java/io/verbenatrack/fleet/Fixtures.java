package io.verbenatrack.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.CallLimits;
import io.verbenatrack.fleet.model.FleetAccount;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;

/**
 * Builds what the tests of the fleet start from.
 */
public final class Fixtures {

	/** The service of all queues and workers. */
	public static final ServiceId SERVICE = new ServiceId("service");

	/** The room of each worker. */
	public static final Resources WORKER_ROOM = new Resources(64_000, 262_144, 8);

	/** How long draining workers stay. */
	private static final long STAY_MILLIS = 2000;

	private Fixtures() {
	}

	/**
	 * A queue.
	 * @param name its name, from which its path follows
	 * @param priority its priority
	 * @return a queue whose tasks may fail twice
	 */
	public static Queue queue(String name, int priority) {
		return new Queue(name, "host.example", "/" + name + "/", SERVICE, priority, 2, 3, 1000, 3000, false);
	}

	/**
	 * A configuration with an urgent and a batch queue.
	 * @param version its version
	 * @return the configuration
	 */
	public static FleetConfiguration configuration(long version) {
		return new FleetConfiguration(version, List.of(queue("urgent", 0), queue("batch", 2)),
				List.of(new WorkerPool(SERVICE, true)), new CallLimits(16_384, 262_144, 3000, 15_000),
				List.of(new FleetAccount(new AccountId("account"), List.of("key"), 16)));
	}

	/**
	 * A step.
	 * @param count how many tasks
	 * @param accelerators what each needs
	 * @param gang whether they work only together
	 * @param after the steps before
	 * @return the step
	 */
	public static StepSpec step(int count, int accelerators, boolean gang, Integer... after) {
		return new StepSpec(count, new Resources(1000, 1000, accelerators), 5000, List.of(after), gang, gang,
				Optional.empty(), Optional.empty(), 0, false, false, false);
	}

	/**
	 * A plan without a timetable.
	 * @param steps its steps
	 * @return the plan
	 */
	public static JobPlan plan(StepSpec... steps) {
		return new JobPlan("payload", List.of(steps), 0, 0, 1);
	}

	/**
	 * A job.
	 * @param number the number in its name
	 * @return its name
	 */
	public static JobId job(int number) {
		return new JobId(String.format("%016x", number));
	}

	/**
	 * A worker's first life.
	 * @param number the number in its name
	 * @return the life
	 */
	public static WorkerIncarnation incarnation(int number) {
		return new WorkerIncarnation(new WorkerId("worker-" + number), 1);
	}

	/**
	 * A report of a worker that listens on an address of its own.
	 * @param incarnation the worker
	 * @param sequence the number of the report
	 * @param draining whether the worker leaves
	 * @param running what runs on it
	 * @param ended what ended on it
	 * @return the report
	 */
	public static WorkerReport report(WorkerIncarnation incarnation, long sequence, boolean draining,
			List<ReportedRun> running, List<ReportedEnd> ended) {
		return new WorkerReport(incarnation, incarnation.worker() + ":80", SERVICE, new ZoneId("zone"), "rack-1",
				Set.of("a", "rack-1"), WORKER_ROOM, draining, STAY_MILLIS, sequence, new ArrayList<>(running),
				new ArrayList<>(ended));
	}

}
