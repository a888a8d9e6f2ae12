package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

import io.verbenatrack.model.RackId;

/**
 * The workers of one rack, ordered by position.
 */
public final class RackRecord {

	private final RackId id;

	private final List<WorkerRecord> workers = new ArrayList<>();

	RackRecord(RackId id) {
		this.id = id;
	}

	void add(WorkerRecord worker) {
		this.workers.add(worker);
		this.workers.sort(Comparator.comparingInt((WorkerRecord each) -> each.spec().positionInRack())
			.thenComparing(WorkerRecord::id));
	}

	void remove(WorkerRecord worker) {
		this.workers.remove(worker);
	}

	/**
	 * Returns the id of the rack.
	 * @return its id
	 */
	public RackId id() {
		return this.id;
	}

	/**
	 * Returns the workers in the order of their position in the rack.
	 * @return the workers
	 */
	public List<WorkerRecord> workers() {
		return Collections.unmodifiableList(this.workers);
	}

	/**
	 * Returns whether a worker is adjacent to the preceding one.
	 * @param index the index in {@link #workers}, from 1
	 * @return whether their positions differ by 1
	 */
	public boolean adjacentToPrevious(int index) {
		int place = this.workers.get(index).spec().positionInRack();
		return place == this.workers.get(index - 1).spec().positionInRack() + 1;
	}

}
