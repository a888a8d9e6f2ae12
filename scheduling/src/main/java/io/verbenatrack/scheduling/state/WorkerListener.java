package io.verbenatrack.scheduling.state;

/**
 * Learns of each change to what a worker has free or to its state, to keep an index.
 */
@FunctionalInterface
public interface WorkerListener {

	/**
	 * The worker changed.
	 * @param worker the worker after the change
	 */
	void workerChanged(WorkerRecord worker);

}
