package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

import io.verbenatrack.model.RackId;

/**
 * The workers of one rack, in order of their place.
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
	 * The rack.
	 * @return its id
	 */
	public RackId id() {
		return this.id;
	}

	/**
	 * The workers by their place in the rack.
	 * @return the workers
	 */
	public List<WorkerRecord> workers() {
		return Collections.unmodifiableList(this.workers);
	}

	/**
	 * Whether a worker is the neighbour of the one before it.
	 * @param index the index in {@link #workers}, from 1
	 * @return whether their places differ by 1
	 */
	public boolean adjacentToPrevious(int index) {
		int place = this.workers.get(index).spec().positionInRack();
		return place == this.workers.get(index - 1).spec().positionInRack() + 1;
	}

}
