package io.verbenatrack.bench.routing;

import io.verbenatrack.model.AccountId;

/**
 * One entry instance on a virtual clock.
 */
interface Entry {

	/**
	 * Takes a request of a caller.
	 * @param account who asks
	 * @param idempotent whether running it twice does no harm
	 */
	void accept(AccountId account, boolean idempotent);

}
