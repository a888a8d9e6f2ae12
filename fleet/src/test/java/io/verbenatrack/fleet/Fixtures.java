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
 * Creates objects for the tests of the fleet.
 */
public final class Fixtures {

	/** The service of all workers, and of the queues unless a test moves them. */
	public static final ServiceId SERVICE = new ServiceId("service");

	/** A service to which {@link #configuration(long, ServiceId)} may move the queues. */
	public static final ServiceId OTHER_SERVICE = new ServiceId("other-service");

	/** The resources of each worker. */
	public static final Resources WORKER_ROOM = new Resources(64_000, 262_144, 8);

	/** The minimum time that draining workers stay. */
	private static final long STAY_MILLIS = 2000;

	private Fixtures() {
	}

	/**
	 * Creates a queue whose jobs fail when a task has failed twice.
	 * @param name the name, which is also the path
	 * @param priority the priority
	 * @return the queue
	 */
	public static Queue queue(String name, int priority) {
		return queue(name, priority, SERVICE);
	}

	private static Queue queue(String name, int priority, ServiceId service) {
		return new Queue(name, "host.example", "/" + name + "/", service, priority, 2, 3, 1000, 3000, false);
	}

	/**
	 * Creates a configuration with an urgent queue and a batch queue.
	 * @param version the version
	 * @return the configuration
	 */
	public static FleetConfiguration configuration(long version) {
		return configuration(version, SERVICE);
	}

	/**
	 * Creates the same configuration for another service.
	 * @param version the version
	 * @param service the only service, to which both queues are routed
	 * @return the configuration
	 */
	public static FleetConfiguration configuration(long version, ServiceId service) {
		return new FleetConfiguration(version, List.of(queue("urgent", 0, service), queue("batch", 2, service)),
				List.of(new WorkerPool(service, true)), new CallLimits(16_384, 262_144, 3000, 15_000),
				List.of(new FleetAccount(new AccountId("account"), List.of("key"), 16)));
	}

	/**
	 * Creates a step.
	 * @param count the number of tasks
	 * @param accelerators the number of accelerators that each task requires
	 * @param gang whether the tasks form a rack-sensitive gang
	 * @param after the indexes of the steps that must be done before
	 * @return the step
	 */
	public static StepSpec step(int count, int accelerators, boolean gang, Integer... after) {
		return new StepSpec(count, new Resources(1000, 1000, accelerators), 5000, List.of(after), gang, gang,
				Optional.empty(), Optional.empty(), 0, false, false, false);
	}

	/**
	 * Creates a plan without a schedule.
	 * @param steps the steps
	 * @return the plan
	 */
	public static JobPlan plan(StepSpec... steps) {
		return new JobPlan("payload", List.of(steps), 0, 0, 1);
	}

	/**
	 * Creates the identifier of a job.
	 * @param number the number in the identifier
	 * @return the identifier
	 */
	public static JobId job(int number) {
		return new JobId(String.format("%016x", number));
	}

	/**
	 * Creates the first incarnation of a worker.
	 * @param number the number in the name of the worker
	 * @return the incarnation
	 */
	public static WorkerIncarnation incarnation(int number) {
		return new WorkerIncarnation(new WorkerId("worker-" + number), 1);
	}

	/**
	 * Creates a report of a worker that listens on a unique address.
	 * @param incarnation the incarnation of the worker
	 * @param sequence the sequence number of the report
	 * @param draining whether the worker is draining
	 * @param running the runs in progress
	 * @param ended the runs that ended
	 * @return the report
	 */
	public static WorkerReport report(WorkerIncarnation incarnation, long sequence, boolean draining,
			List<ReportedRun> running, List<ReportedEnd> ended) {
		return new WorkerReport(incarnation, incarnation.worker() + ":80", SERVICE, new ZoneId("zone"), "rack-1",
				Set.of("a", "rack-1"), WORKER_ROOM, draining, STAY_MILLIS, sequence, new ArrayList<>(running),
				new ArrayList<>(ended));
	}

}
