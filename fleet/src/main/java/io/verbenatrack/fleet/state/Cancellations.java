package io.verbenatrack.fleet.state;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.model.AccountId;

/**
 * The cancellations of jobs that were unknown when they were cancelled. The call that
 * submits such a job may still be on its way, and is refused when it arrives. Not
 * thread-safe.
 */
public final class Cancellations {

	/**
	 * The memory that a cancellation takes, in bytes, with its entries in the tables of
	 * the leader.
	 */
	public static final long BYTES = 300;

	private final Set<Cancellation> all = new LinkedHashSet<>();

	private final Map<AccountId, Integer> counts = new HashMap<>();

	void add(Cancellation cancellation) {
		if (this.all.add(cancellation)) {
			this.counts.merge(cancellation.account(), 1, Integer::sum);
		}
	}

	void remove(Cancellation cancellation) {
		if (this.all.remove(cancellation)) {
			this.counts.computeIfPresent(cancellation.account(), (account, count) -> (count > 1) ? count - 1 : null);
		}
	}

	void restore(Collection<Cancellation> cancellations) {
		this.all.clear();
		this.counts.clear();
		cancellations.forEach(this::add);
	}

	/**
	 * Returns whether a cancellation is recorded.
	 * @param cancellation the cancellation
	 * @return whether a submission of the job by the account is refused
	 */
	public boolean contains(Cancellation cancellation) {
		return this.all.contains(cancellation);
	}

	/**
	 * Returns all cancellations, in the order in which they were recorded.
	 * @return a live view
	 */
	public Set<Cancellation> all() {
		return Collections.unmodifiableSet(this.all);
	}

	/**
	 * Returns the memory that the cancellations of an account take.
	 * @param account the client account
	 * @return an estimate in bytes
	 */
	public long bytes(AccountId account) {
		return this.counts.getOrDefault(account, 0) * BYTES;
	}

}
