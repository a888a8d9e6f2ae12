package io.verbenatrack.fleet.model;

import java.util.List;

import io.verbenatrack.model.AccountId;

/**
 * A client account as the fleet serves it.
 *
 * @param account the account
 * @param keys the keys of its callers
 * @param guaranteedAccelerators what its jobs of priority 0 can always have
 */
public record FleetAccount(AccountId account, List<String> keys, int guaranteedAccelerators) {

	public FleetAccount {
		keys = List.copyOf(keys);
	}

}
