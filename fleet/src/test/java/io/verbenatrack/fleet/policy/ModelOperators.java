package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.function.BiConsumer;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.model.ServiceId;

/**
 * Operators of the modelled fleet, who give orders while it works, and the check that the
 * orders are in force.
 */
interface ModelOperators {

	/** Operators who give no orders. */
	ModelOperators NONE = new ModelOperators() {
	};

	/**
	 * Gives an order soon.
	 * @param workers the workers
	 * @param nowMillis the time
	 * @param later runs an action at a time in milliseconds
	 * @param changeLeader ends the term of the leader
	 */
	default void order(List<ModelWorker> workers, long nowMillis, BiConsumer<Long, Runnable> later,
			Runnable changeLeader) {
	}

	/**
	 * Sends the orders that are not stored yet.
	 * @param nowMillis the time
	 */
	default void run(long nowMillis) {
	}

	/** Gives the last orders, with which all jobs can end. */
	default void end() {
	}

	/**
	 * Checks that a task, or the work of a gang, may begin.
	 * @param task the task
	 * @param worker its worker
	 * @param nowMillis the time
	 */
	default void began(TaskId task, ModelWorker worker, long nowMillis) {
	}

	/**
	 * Returns the service of the workers at an address.
	 * @param address the address
	 * @return the service, the same for all workers that follow each other there
	 */
	default ServiceId service(String address) {
		return Fixtures.SERVICE;
	}

	/**
	 * Returns how many orders are stored.
	 * @return the number of orders
	 */
	default int stored() {
		return 0;
	}

	/** The kinds of operators. */
	enum Kind {

		/** No orders. */
		NONE,

		/** Orders to evacuate zones and to withdraw the evacuations. */
		EVACUATIONS,

		/** Configurations that remove services, add them and move the queues. */
		CONFIGURATIONS

	}

}
