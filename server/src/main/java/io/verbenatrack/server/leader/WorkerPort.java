package io.verbenatrack.server.leader;

import java.util.concurrent.CompletableFuture;

/**
 * Sends actions to workers.
 */
public interface WorkerPort {

	/**
	 * Sends an action.
	 * @param url the base URL of the worker
	 * @param action the action, which may be sent repeatedly
	 * @return a future of the result that never completes exceptionally
	 */
	CompletableFuture<Delivery> send(String url, MemberAction action);

	/**
	 * The result of sending an action.
	 */
	enum Delivery {

		/** The worker accepted the action. */
		TAKEN,

		/** The worker rejected the action because it has seen a higher fencing token. */
		FENCED,

		/** It is unknown whether the worker received the action; it must be retried. */
		UNKNOWN

	}

}
