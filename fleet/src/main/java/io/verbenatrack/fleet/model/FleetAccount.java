package io.verbenatrack.fleet.model;

import java.util.List;

import io.verbenatrack.model.AccountId;

/**
 * A client account and its entitlements.
 *
 * @param account the identifier of the account
 * @param keys the API keys that its callers may use
 * @param guaranteedAccelerators the number of accelerators guaranteed to its jobs of
 * priority 0
 */
public record FleetAccount(AccountId account, List<String> keys, int guaranteedAccelerators) {

	public FleetAccount {
		keys = List.copyOf(keys);
	}

}
