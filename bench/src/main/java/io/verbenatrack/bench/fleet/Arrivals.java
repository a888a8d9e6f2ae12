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
final class Arrivals {

	private static final int MILLIS = 1000;

	/** Largest gang that can be rack-sensitive, in accelerators: half a rack. */
	private static final int WIDEST_IN_RACK = 32;

	private static final double WIDTH_SPREAD = 0.7;

	private static final double SMALLEST_CREDIT = 0.3;

	private static final double LARGEST_CREDIT = 4;

	private final FleetLoad load;

	private final SplittableRandom random;

	private final int accounts;

	private Arrivals(FleetLoad load, long seed, int accounts) {
		this.load = load;
		this.random = new SplittableRandom(seed);
		this.accounts = accounts;
	}

	static List<ArrivingJob> draw(FleetLoad load, long seed, int accounts) {
		Arrivals arrivals = new Arrivals(load, seed, accounts);
		List<ArrivingJob> jobs = new ArrayList<>();
		load.classes().forEach((jobClass) -> arrivals.draw(jobClass, jobs));
		jobs.sort(Comparator.comparingLong(ArrivingJob::atMillis));
		return jobs;
	}

	private void draw(JobClass jobClass, List<ArrivingJob> jobs) {
		for (int job = 0; job < this.load.size().filled() * jobClass.priority(); job++) {
			jobs.add(job(jobClass, 0));
		}
		double now = 0;
		while (true) {
			double rate = jobClass.perSecond() * this.load.factor() * burst(jobClass, now);
			now -= Math.log(1 - this.random.nextDouble()) / rate;
			if (now >= this.load.seconds()) {
				return;
			}
			jobs.add(job(jobClass, (long) (now * MILLIS)));
		}
	}

	private double burst(JobClass jobClass, double now) {
		return this.load.bursts()
			.stream()
			.filter((burst) -> burst.jobClass().equals(jobClass.name()))
			.filter((burst) -> now >= burst.atSecond() && now < burst.atSecond() + burst.forSeconds())
			.mapToDouble(FleetLoad.Burst::factor)
			.findFirst()
			.orElse(1);
	}

	private ArrivingJob job(JobClass jobClass, long atMillis) {
		int[] choices = jobClass.accelerators();
		int accelerators = choices[this.random.nextInt(choices.length)];
		int most = this.load.size().mostTasks(accelerators, jobClass.mostTasks());
		int count = (int) Math.clamp(Math.round(lognormal(jobClass.width(), WIDTH_SPREAD)), 1, most);
		boolean checkpoints = this.random.nextDouble() < jobClass.checkpointShare();
		boolean narrow = count * accelerators <= WIDEST_IN_RACK;
		boolean rack = this.random.nextDouble() < jobClass.rackShare() && narrow;
		double work = lognormal(jobClass.workMillis(), jobClass.workSpread());
		long[] works = new long[count];
		for (int index = 0; index < count; index++) {
			works[index] = (long) (jobClass.gang() ? work : work * lognormal(1, 0.2));
		}
		StepSpec step = new StepSpec(count, jobClass.room(accelerators), (long) (work * lognormal(1, 0.2)), List.of(),
				jobClass.gang(), rack, Optional.empty(), Optional.empty(), 0, false, false, checkpoints);
		double size = count * work / (jobClass.width() * jobClass.workMillis());
		double credit = jobClass.credit() * Math.min(LARGEST_CREDIT, SMALLEST_CREDIT + (1 - SMALLEST_CREDIT) * size);
		return new ArrivingJob(new JobId(String.format("%016x", this.random.nextLong())), jobClass,
				new AccountId("account-" + this.random.nextInt(this.accounts)),
				new JobPlan("payload", List.of(step), 0, 0, 1), atMillis, works, credit);
	}

	private double lognormal(double mean, double spread) {
		double u = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		return mean * Math.exp(spread * u - spread * spread / 2);
	}

}
