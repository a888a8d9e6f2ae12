package io.verbenatrack.server.leader;

import java.util.concurrent.CompletableFuture;

/**
 * Calls workers.
 */
public interface WorkerPort {

	/**
	 * Sends an action.
	 * @param url where the worker listens
	 * @param action the action, harmless when sent again
	 * @return how it ended; never completes exceptionally
	 */
	CompletableFuture<Delivery> send(String url, MemberAction action);

	/**
	 * How sending ended.
	 */
	enum Delivery {

		/** The worker took the action. */
		TAKEN,

		/** The worker has seen a higher token. */
		FENCED,

		/** Nothing is known; send it again. */
		UNKNOWN

	}

}
