package io.verbenatrack.routing;

import io.verbenatrack.model.AccountId;

/**
 * Knows the declared share of each client account.
 */
@FunctionalInterface
public interface AccountWeights {

	/**
	 * The weight of a client account.
	 * @param account the account
	 * @return at least 1; 1 for an account that was not declared
	 */
	int weight(AccountId account);

}
