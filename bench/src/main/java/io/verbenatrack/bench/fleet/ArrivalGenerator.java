package io.verbenatrack.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * Generates the jobs of a load pattern from a seed.
 */
final class ArrivalGenerator {

	private static final int MILLIS_PER_SECOND = 1000;

	/**
	 * Largest gang that can be rack-sensitive, as a share of the accelerators of a rack.
	 */
	private static final double MAXIMUM_RACK_SHARE = 0.5;

	private static final double WIDTH_SIGMA = 0.7;

	private static final double MINIMUM_CREDIT_FACTOR = 0.3;

	private static final double MAXIMUM_CREDIT_FACTOR = 4;

	private final FleetLoad load;

	private final SplittableRandom random;

	private final int accounts;

	private ArrivalGenerator(FleetLoad load, long seed, int accounts) {
		this.load = load;
		this.random = new SplittableRandom(seed);
		this.accounts = accounts;
	}

	static List<ArrivingJob> generate(FleetLoad load, long seed, int accounts) {
		ArrivalGenerator arrivals = new ArrivalGenerator(load, seed, accounts);
		List<ArrivingJob> jobs = new ArrayList<>();
		load.classes().forEach((jobClass) -> arrivals.generate(jobClass, jobs));
		jobs.sort(Comparator.comparingLong(ArrivingJob::atMillis));
		return jobs;
	}

	private void generate(JobClass jobClass, List<ArrivingJob> jobs) {
		for (int job = 0; job < this.load.size().initialJobs() * jobClass.priority(); job++) {
			jobs.add(job(jobClass, 0));
		}
		double now = 0;
		while (true) {
			double rate = jobClass.perSecond() * this.load.factor() * burstFactor(jobClass, now);
			now -= Math.log(1 - this.random.nextDouble()) / rate;
			if (now >= this.load.seconds()) {
				return;
			}
			jobs.add(job(jobClass, (long) (now * MILLIS_PER_SECOND)));
		}
	}

	private double burstFactor(JobClass jobClass, double now) {
		return this.load.bursts()
			.stream()
			.filter((burst) -> burst.jobClass().equals(jobClass.name()))
			.filter((burst) -> now >= burst.startSecond() && now < burst.startSecond() + burst.durationSeconds())
			.mapToDouble(FleetLoad.Burst::factor)
			.findFirst()
			.orElse(1);
	}

	private ArrivingJob job(JobClass jobClass, long atMillis) {
		int[] choices = jobClass.accelerators();
		int accelerators = choices[this.random.nextInt(choices.length)];
		int maximum = this.load.size().maximumTasks(accelerators, jobClass.maximumTasks());
		int count = (int) Math.clamp(Math.round(lognormal(jobClass.width(), WIDTH_SIGMA)), 1, maximum);
		boolean checkpoints = this.random.nextDouble() < jobClass.checkpointShare();
		FleetConditions conditions = this.load.conditions();
		int rackAccelerators = conditions.workersPerRack() * conditions.capacity().accelerators();
		boolean fitsInRack = count * accelerators <= MAXIMUM_RACK_SHARE * rackAccelerators;
		boolean rack = this.random.nextDouble() < jobClass.rackShare() && fitsInRack;
		double work = lognormal(jobClass.workMillis(), jobClass.workSpread());
		long[] taskMillis = new long[count];
		for (int index = 0; index < count; index++) {
			taskMillis[index] = (long) (jobClass.gang() ? work : work * lognormal(1, 0.2));
		}
		delayStragglers(taskMillis, jobClass.gang());
		long estimatedMillis = (long) (work * lognormal(1, conditions.estimateSpread(jobClass)));
		StepSpec step = new StepSpec(count, jobClass.resources(accelerators), estimatedMillis, List.of(),
				jobClass.gang(), rack, Optional.empty(), Optional.empty(), 0, false, false, checkpoints);
		double size = count * work / (jobClass.width() * jobClass.workMillis());
		double credit = jobClass.credit()
				* Math.min(MAXIMUM_CREDIT_FACTOR, MINIMUM_CREDIT_FACTOR + (1 - MINIMUM_CREDIT_FACTOR) * size);
		return new ArrivingJob(new JobId(String.format("%016x", this.random.nextLong())), jobClass,
				new AccountId("account-" + this.random.nextInt(this.accounts)),
				new JobPlan("payload", List.of(step), 0, 0, 1), atMillis, taskMillis, credit);
	}

	private void delayStragglers(long[] taskMillis, boolean gang) {
		FleetConditions.Stragglers stragglers = this.load.conditions().stragglers();
		if (stragglers.share() == 0) {
			return;
		}
		boolean gangStraggles = this.random.nextDouble() < stragglers.share();
		for (int index = 0; index < taskMillis.length; index++) {
			boolean straggles = gang ? gangStraggles : this.random.nextDouble() < stragglers.share();
			taskMillis[index] = (long) (taskMillis[index] * (straggles ? stragglers.factor() : 1));
		}
	}

	private double lognormal(double mean, double spread) {
		double gaussian = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		return mean * Math.exp(spread * gaussian - spread * spread / 2);
	}

}
