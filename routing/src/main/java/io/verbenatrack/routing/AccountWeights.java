package io.verbenatrack.routing;

import io.verbenatrack.model.AccountId;

/**
 * The scheduling weights of client accounts.
 */
@FunctionalInterface
public interface AccountWeights {

	/**
	 * Returns the weight of a client account.
	 * @param account the account
	 * @return the weight, at least 1; 1 for an account that is not declared
	 */
	int weight(AccountId account);

}
