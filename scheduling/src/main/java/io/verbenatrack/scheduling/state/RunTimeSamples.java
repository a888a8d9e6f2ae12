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
 * The latest ratios of actual to declared run time of each client account and job class.
 */
public final class RunTimeSamples {

	/** Older samples are dropped, so that estimates follow changes in the workload. */
	static final int MAXIMUM_SAMPLES = 64;

	/** Callers choose the names of classes, so their number must be bounded. */
	static final int MAXIMUM_CLASSES = 4_096;

	private final Map<AccountId, Map<String, List<Double>>> ratios = new TreeMap<>();

	private final Map<List<Double>, List<Double>> sorted = new IdentityHashMap<>();

	private int classes;

	void recordFinished(JobRecord job, Instant finishedAt) {
		Instant startedAt = job.lease().flatMap(GangLease::startedAt).orElse(finishedAt);
		Duration runTime = job.checkpointedBefore().plus(Duration.between(startedAt, finishedAt));
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
	 * Returns the samples of a class in ascending order.
	 * @param account the account
	 * @param jobClass the class
	 * @return the ratios of actual to declared run time, smallest first
	 */
	public List<Double> sorted(AccountId account, String jobClass) {
		List<Double> samples = this.ratios.getOrDefault(account, Map.of()).get(jobClass);
		return (samples != null) ? this.sorted.computeIfAbsent(samples, (all) -> all.stream().sorted().toList())
				: List.of();
	}

	/**
	 * Returns the samples of a class.
	 * @param account the account
	 * @param jobClass the class
	 * @return the ratios of actual to declared run time, oldest first
	 */
	public List<Double> of(AccountId account, String jobClass) {
		List<Double> samples = this.ratios.getOrDefault(account, Map.of()).get(jobClass);
		return (samples != null) ? Collections.unmodifiableList(samples) : List.of();
	}

}
