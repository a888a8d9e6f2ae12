package io.verbenatrack.scheduling.state;

/**
 * Receives each change of a worker's state or free capacity, to maintain an index.
 */
@FunctionalInterface
public interface WorkerListener {

	/**
	 * Called after a worker changed.
	 * @param worker the worker after the change
	 */
	void workerChanged(WorkerRecord worker);

}
