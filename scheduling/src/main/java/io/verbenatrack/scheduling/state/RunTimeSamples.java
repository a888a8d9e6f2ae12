package io.verbenatrack.scheduling.state;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * The latest true over declared run times of each client account and job class.
 */
public final class RunTimeSamples {

	/** Older samples are dropped, so that estimates follow a change of habit. */
	static final int MAXIMUM_SAMPLES = 64;

	/** Classes are named by callers, so that their number needs a bound. */
	static final int MAXIMUM_CLASSES = 4_096;

	private final Map<AccountId, Map<String, List<Double>>> ratios = new TreeMap<>();

	private final Map<List<Double>, List<Double>> sorted = new IdentityHashMap<>();

	private int classes;

	void learn(JobRecord job, Instant finishedAt) {
		Instant startedAt = job.lease().flatMap(GangLease::startedAt).orElse(finishedAt);
		Duration runTime = job.keptBefore().plus(Duration.between(startedAt, finishedAt));
		double declared = job.spec().declaredRunTime().toMillis();
		if (declared > 0 && !runTime.isNegative()) {
			add(job.spec().account(), job.spec().jobClass(), runTime.toMillis() / declared);
		}
	}

	private void add(AccountId account, String jobClass, double ratio) {
		List<Double> samples = samples(account, jobClass);
		this.sorted.remove(samples);
		samples.add(ratio);
		if (samples.size() > MAXIMUM_SAMPLES) {
			samples.removeFirst();
		}
	}

	private List<Double> samples(AccountId account, String jobClass) {
		Map<String, List<Double>> ofAccount = this.ratios.computeIfAbsent(account, (id) -> new TreeMap<>());
		List<Double> samples = ofAccount.get(jobClass);
		if (samples == null) {
			samples = new ArrayList<>();
			if (this.classes < MAXIMUM_CLASSES) {
				ofAccount.put(jobClass, samples);
				this.classes++;
			}
		}
		return samples;
	}

	void restore(SchedulingDecision.RestoreRunTimes restore) {
		samples(restore.account(), restore.jobClass()).addAll(restore.ratios());
	}

	List<SchedulingDecision> replay() {
		List<SchedulingDecision> decisions = new ArrayList<>();
		this.ratios.forEach((account, classesOfAccount) -> classesOfAccount.forEach((jobClass, samples) -> decisions
			.add(new SchedulingDecision.RestoreRunTimes(account, jobClass, List.copyOf(samples)))));
		return decisions;
	}

	/**
	 * The samples of a class in order of size.
	 * @param account the account
	 * @param jobClass the class
	 * @return true over declared run times, smallest first
	 */
	public List<Double> sorted(AccountId account, String jobClass) {
		List<Double> samples = this.ratios.getOrDefault(account, Map.of()).get(jobClass);
		return (samples != null) ? this.sorted.computeIfAbsent(samples, (all) -> all.stream().sorted().toList())
				: List.of();
	}

	/**
	 * The samples of a class.
	 * @param account the account
	 * @param jobClass the class
	 * @return true over declared run times, oldest first
	 */
	public List<Double> of(AccountId account, String jobClass) {
		List<Double> samples = this.ratios.getOrDefault(account, Map.of()).get(jobClass);
		return (samples != null) ? Collections.unmodifiableList(samples) : List.of();
	}

}
