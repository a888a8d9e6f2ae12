package io.verbenatrack.fleet.state;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.WorkerId;

/**
 * The learned run times and worker speeds that leaders have recorded. The least recently
 * recorded ones are dropped when there are too many.
 */
public final class RunTimes {

	/** The maximum number of classes. */
	public static final int MAX_CLASSES = 512;

	/** The maximum number of workers. */
	public static final int MAX_WORKERS = 2000;

	private final Map<ClassKey, ClassRunTimes> classes = new LinkedHashMap<>();

	private final Map<WorkerId, WorkerSpeed> speeds = new LinkedHashMap<>();

	void record(List<ClassRunTimes> newClasses, List<WorkerSpeed> newSpeeds) {
		newClasses.forEach(
				(added) -> replace(this.classes, new ClassKey(added.queue(), added.account()), added, MAX_CLASSES));
		newSpeeds.forEach((added) -> replace(this.speeds, added.worker(), added, MAX_WORKERS));
	}

	private static <K, V> void replace(Map<K, V> values, K key, V value, int max) {
		values.remove(key);
		values.put(key, value);
		if (values.size() > max) {
			Iterator<K> eldest = values.keySet().iterator();
			eldest.next();
			eldest.remove();
		}
	}

	void restore(RunTimesRecord record) {
		this.classes.clear();
		this.speeds.clear();
		record(record.classes(), record.speeds());
	}

	RunTimesRecord toRecord() {
		return new RunTimesRecord(List.copyOf(this.classes.values()), List.copyOf(this.speeds.values()));
	}

	/**
	 * Returns the recorded classes, the latest last.
	 * @return a live view
	 */
	public Collection<ClassRunTimes> classes() {
		return this.classes.values();
	}

	/**
	 * Returns the recorded speeds, the latest last.
	 * @return a live view
	 */
	public Collection<WorkerSpeed> speeds() {
		return this.speeds.values();
	}

	/**
	 * Returns the recorded run times of a class.
	 * @param queue the name of the queue
	 * @param account the client account, or empty for all of them
	 * @return the run times, or empty if none are recorded
	 */
	public Optional<ClassRunTimes> find(String queue, Optional<AccountId> account) {
		return Optional.ofNullable(this.classes.get(new ClassKey(queue, account)));
	}

	/**
	 * Returns the recorded speed of a worker.
	 * @param worker the worker
	 * @return the speed in percent, 100 if none is recorded
	 */
	public int percent(WorkerId worker) {
		WorkerSpeed speed = this.speeds.get(worker);
		return (speed != null) ? speed.percent() : 100;
	}

	private record ClassKey(String queue, Optional<AccountId> account) {

	}

	/**
	 * The recorded values in a snapshot.
	 *
	 * @param classes the run times by class, the latest last
	 * @param speeds the speeds of workers, the latest last
	 */
	record RunTimesRecord(List<ClassRunTimes> classes, List<WorkerSpeed> speeds) {

		static final RunTimesRecord NONE = new RunTimesRecord(List.of(), List.of());

	}

}
