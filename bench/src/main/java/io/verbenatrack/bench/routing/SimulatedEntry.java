package io.verbenatrack.bench.routing;

import io.verbenatrack.model.AccountId;

/**
 * Simulated entry instance.
 */
interface SimulatedEntry {

	/**
	 * Accepts a request from a caller.
	 * @param account the client account of the caller
	 * @param idempotent whether the request may run more than once
	 */
	void accept(AccountId account, boolean idempotent);

}
