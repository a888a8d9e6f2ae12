package io.verbenatrack.scheduling.state;

import java.util.Comparator;

import io.verbenatrack.model.AccountId;

/**
 * Identifies one guaranteed gang and its region.
 *
 * @param account the account
 * @param guarantee the index in the account's guarantees, from 0
 * @param gang which gang of that guarantee, from 0
 */
public record RegionKey(AccountId account, int guarantee, int gang) implements Comparable<RegionKey> {

	private static final Comparator<RegionKey> ORDER = Comparator.comparing(RegionKey::account)
		.thenComparingInt(RegionKey::guarantee)
		.thenComparingInt(RegionKey::gang);

	@Override
	public int compareTo(RegionKey other) {
		return ORDER.compare(this, other);
	}

}
