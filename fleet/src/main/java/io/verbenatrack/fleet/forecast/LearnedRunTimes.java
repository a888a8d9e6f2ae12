package io.verbenatrack.fleet.forecast;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.fleet.state.RunTimes;
import io.verbenatrack.model.AccountId;

/**
 * The learned run times by class: for a queue and a client account, and for a queue.
 */
final class LearnedRunTimes {

	/** More than queues and accounts of a deployment; names come from callers. */
	private static final int MAX_CLASSES = RunTimes.MAX_CLASSES;

	/** Limits the log lines of a class whose errors are about equal. */
	private static final long MIN_SWITCH_NANOS = 10_000_000_000L;

	/** The 0.9 quantile of a normal distribution in standard deviations. */
	private static final double TAIL_SIGMAS = 1.2816;

	/** Standard deviation that is assumed of estimates without any samples. */
	private static final double UNKNOWN_SPREAD = 0.5;

	private static final double MIN_KNOWN_WEIGHT = 4;

	private static final double MIN_MILLIS = 10;

	private static final double MAX_MILLIS = 7 * 24 * 3600 * 1000.0;

	/** In the order of their latest samples. */
	private final Map<Key, ClassModel> models = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<Key, Long> switched = new LinkedHashMap<>();

	/**
	 * Continues from recorded summaries.
	 * @param summaries the summaries, the latest last
	 */
	void restore(Collection<ClassRunTimes> summaries) {
		summaries.forEach((summary) -> model(new Key(summary.queue(), summary.account())).restore(summary));
	}

	int size() {
		return this.models.size();
	}

	/**
	 * Returns whether a run time is plausible.
	 * @param millis the run time in milliseconds, or NaN
	 * @return whether it is between 10 ms and 7 days
	 */
	static boolean plausible(double millis) {
		return millis >= MIN_MILLIS && millis <= MAX_MILLIS;
	}

	/**
	 * Returns the logarithm of a caller's estimate.
	 * @param millis the estimate in milliseconds, of any value
	 * @return the logarithm of the nearest plausible run time
	 */
	static double logEstimate(long millis) {
		return Math.log(Math.clamp(millis, MIN_MILLIS, MAX_MILLIS));
	}

	/**
	 * Predicts a run time, whether or not the prediction is used.
	 * @param runClass the class
	 * @param x the logarithm of the caller's estimate
	 * @return the logarithm of the run time at speed 1
	 */
	double predict(RunClass runClass, double x) {
		ClassModel queue = find(runClass.queue(), Optional.empty());
		ClassModel model = find(runClass.queue(), Optional.of(runClass.account()));
		return (model != null) ? model.predict(x, queue) : (queue != null) ? queue.predict(x, null) : x;
	}

	/**
	 * Returns the expected run time, from the source in use.
	 * @param runClass the class
	 * @param x the logarithm of the caller's estimate
	 * @return the logarithm of the run time at speed 1; the caller's estimate itself
	 * unless learned values are in use
	 */
	double expect(RunClass runClass, double x) {
		ClassModel model = decisive(runClass);
		return (model != null && model.used()) ? predict(runClass, x) : x;
	}

	/**
	 * Returns the 0.9 quantile of the error of {@link #expect}.
	 * @param runClass the class
	 * @return the logarithm of a factor, 0 when it is not known
	 */
	double tail(RunClass runClass) {
		ClassModel model = decisive(runClass);
		return (model != null) ? model.tail(model.used()) : 0;
	}

	/**
	 * Returns the standard deviation of the error of {@link #expect}.
	 * @param runClass the class
	 * @return the deviation of the logarithm
	 */
	double spread(RunClass runClass) {
		return (decisive(runClass) != null) ? tail(runClass) / TAIL_SIGMAS : UNKNOWN_SPREAD;
	}

	/**
	 * Returns whether enough runs of a class are known to derive the speed of a worker
	 * from another one.
	 * @param runClass the class
	 * @return whether the class has samples
	 */
	boolean known(RunClass runClass) {
		return decisive(runClass) != null;
	}

	private ClassModel decisive(RunClass runClass) {
		ClassModel model = find(runClass.queue(), Optional.of(runClass.account()));
		if (model == null || model.weight() < MIN_KNOWN_WEIGHT) {
			model = find(runClass.queue(), Optional.empty());
		}
		return (model == null || model.weight() < MIN_KNOWN_WEIGHT) ? null : model;
	}

	private ClassModel find(String queue, Optional<AccountId> account) {
		return this.models.get(new Key(queue, account));
	}

	private ClassModel model(Key key) {
		ClassModel model = this.models.computeIfAbsent(key, (added) -> new ClassModel(added.queue(), added.account()));
		if (this.models.size() > MAX_CLASSES) {
			Iterator<Key> eldest = this.models.keySet().iterator();
			this.switched.remove(eldest.next());
			eldest.remove();
		}
		return model;
	}

	void add(RunClass runClass, double x, double y, double predicted, double weight) {
		ClassModel queue = model(new Key(runClass.queue(), Optional.empty()));
		ClassModel model = model(new Key(runClass.queue(), Optional.of(runClass.account())));
		model.add(x, y, predicted, weight, queue);
		queue.add(x, y, predicted, weight, null);
	}

	void clearOpen() {
		this.models.values().forEach(ClassModel::clearOpen);
	}

	void addOpen(RunClass runClass, double x, double y, double weight) {
		model(new Key(runClass.queue(), Optional.empty())).addOpen(x, y, weight);
		model(new Key(runClass.queue(), Optional.of(runClass.account()))).addOpen(x, y, weight);
	}

	/**
	 * Decides which classes use learned values from now on.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @param events receives an event for each class of an account that changes
	 */
	void decideUse(long nowNanos, Collection<ForecastEvent> events) {
		this.models.forEach((key, model) -> {
			Long since = this.switched.get(key);
			if ((since == null || nowNanos - since >= MIN_SWITCH_NANOS) && model.decideUse()) {
				this.switched.put(key, nowNanos);
				key.account()
					.ifPresent((account) -> events
						.add(new ForecastEvent.RunTimesSwitched(new RunClass(key.queue(), account), model.used(),
								model.weight(), model.learnedError(), model.callerError())));
			}
		});
	}

	/**
	 * Returns the summaries that differ from the recorded ones.
	 * @param recorded the recorded run times
	 * @return the summaries, those without samples for the longest time first
	 */
	List<ClassRunTimes> changed(RunTimes recorded) {
		return this.models.values()
			.stream()
			.filter((model) -> model.weight() > 0)
			.map(ClassModel::summary)
			.filter((summary) -> recorded.find(summary.queue(), summary.account()).filter(summary::equals).isEmpty())
			.toList();
	}

	private record Key(String queue, Optional<AccountId> account) {

	}

}
