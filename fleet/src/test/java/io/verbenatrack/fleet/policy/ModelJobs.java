package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * The callers of the modelled fleet: they submit jobs, repeat a call until its change is
 * stored, and cancel some of the jobs.
 */
final class ModelJobs {

	private static final long LAST_JOB_MILLIS = 20_000;

	private static final long RETRY_MILLIS = 300;

	private static final long MAX_CANCELLATION_DELAY_MILLIS = 6000;

	private static final int JOBS = 40;

	private final Random random;

	private final LongSupplier clock;

	private final BiConsumer<Long, Runnable> later;

	private final Predicate<FleetCommand> log;

	private final Map<JobId, JobPlan> plans = new HashMap<>();

	/**
	 * Creates the callers.
	 * @param random the source of all choices
	 * @param clock the time in milliseconds
	 * @param later runs an action at a time in milliseconds
	 * @param log commits a command and returns whether it is stored for certain
	 */
	ModelJobs(Random random, LongSupplier clock, BiConsumer<Long, Runnable> later, Predicate<FleetCommand> log) {
		this.random = random;
		this.clock = clock;
		this.later = later;
		this.log = log;
	}

	/** Submits all jobs over time. */
	void submitAll() {
		for (int job = 1; job <= JOBS; job++) {
			JobId id = Fixtures.job(job);
			boolean urgent = chance(0.3);
			this.later.accept(this.random.nextLong(LAST_JOB_MILLIS), () -> submit(id, urgent));
		}
	}

	boolean allSubmitted() {
		return this.plans.size() == JOBS;
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private void submit(JobId job, boolean urgent) {
		if (this.plans.containsKey(job)) {
			return;
		}
		List<StepSpec> steps = new ArrayList<>();
		boolean gang = chance(0.35);
		steps.add(Fixtures.step(1 + this.random.nextInt(4), gang ? 4 : 1 + this.random.nextInt(4), gang));
		if (chance(0.4)) {
			steps.add(Fixtures.step(1 + this.random.nextInt(3), 2, false, 0));
		}
		JobPlan plan = Fixtures.plan(steps.toArray(StepSpec[]::new));
		if (!this.log.test(new FleetCommand.AcceptJob(job, urgent ? "urgent" : "batch", new AccountId("account"), plan,
				this.clock.getAsLong()))) {
			this.later.accept(this.clock.getAsLong() + RETRY_MILLIS, () -> submit(job, urgent));
			return;
		}
		this.plans.put(job, plan);
		if (chance(0.1)) {
			this.later.accept(this.clock.getAsLong() + this.random.nextLong(MAX_CANCELLATION_DELAY_MILLIS),
					() -> cancel(job));
		}
	}

	private void cancel(JobId job) {
		if (!this.log.test(new FleetCommand.CancelJob(job))) {
			this.later.accept(this.clock.getAsLong() + RETRY_MILLIS, () -> cancel(job));
		}
	}

	StepSpec spec(TaskId task) {
		return this.plans.get(task.job()).steps().get(task.step());
	}

	/**
	 * Returns the tasks that must be done before a task may start.
	 * @param task the task
	 * @return the tasks of the steps that come first
	 */
	List<TaskId> dependencies(TaskId task) {
		List<TaskId> dependencies = new ArrayList<>();
		for (int step : spec(task).after()) {
			for (int index = 0; index < this.plans.get(task.job()).steps().get(step).count(); index++) {
				dependencies.add(new TaskId(task.job(), task.occurrence(), step, index));
			}
		}
		return dependencies;
	}

}
