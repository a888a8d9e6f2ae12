package io.verbenatrack.routing;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.verbenatrack.model.AccountId;

/**
 * A queue that serves client accounts in proportion to their weights.
 * <p>
 * Implements start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each account
 * has a virtual start time, which grows by cost divided by weight with each entry served.
 *
 * @param <T> the type of the entries
 */
final class FairQueue<T> {

	private final AccountWeights weights;

	private final Map<AccountId, Lane<T>> lanes = new TreeMap<>();

	private double virtualTime;

	private int size;

	FairQueue(AccountWeights weights) {
		this.weights = weights;
	}

	void add(AccountId account, T entry) {
		Lane<T> lane = this.lanes.computeIfAbsent(account, (id) -> new Lane<>());
		if (lane.entries.isEmpty()) {
			lane.start = Math.max(lane.start, this.virtualTime);
		}
		this.size += lane.entries.add(entry) ? 1 : 0;
	}

	boolean remove(AccountId account, T entry) {
		Lane<T> lane = this.lanes.get(account);
		boolean removed = lane != null && lane.entries.remove(entry);
		this.size -= removed ? 1 : 0;
		return removed;
	}

	Optional<T> poll() {
		Map.Entry<AccountId, Lane<T>> next = null;
		for (Map.Entry<AccountId, Lane<T>> candidate : this.lanes.entrySet()) {
			if (!candidate.getValue().entries.isEmpty()
					&& (next == null || candidate.getValue().start < next.getValue().start)) {
				next = candidate;
			}
		}
		return (next != null) ? Optional.of(take(next.getKey(), next.getValue())) : Optional.empty();
	}

	private T take(AccountId account, Lane<T> lane) {
		T entry = lane.entries.iterator().next();
		lane.entries.remove(entry);
		this.size--;
		this.virtualTime = lane.start;
		lane.start += lane.cost / this.weights.weight(account);
		this.lanes.values().removeIf((idle) -> idle.entries.isEmpty() && idle.start < this.virtualTime);
		return entry;
	}

	/**
	 * Sets the cost of the entries of an account. Ignored for an account that has no
	 * entries in the queue.
	 * @param account the account
	 * @param cost the mean cost of its entries, relative to the mean of all entries
	 */
	void charge(AccountId account, double cost) {
		Lane<T> lane = this.lanes.get(account);
		if (lane != null) {
			lane.cost = cost;
		}
	}

	int size() {
		return this.size;
	}

	int size(AccountId account) {
		Lane<T> lane = this.lanes.get(account);
		return (lane != null) ? lane.entries.size() : 0;
	}

	/**
	 * Returns the share of the capacity that an account gets among all accounts with
	 * queued entries.
	 * @param account the account
	 * @return the share, above 0 and up to 1
	 */
	double share(AccountId account) {
		double total = this.weights.weight(account);
		for (Map.Entry<AccountId, Lane<T>> lane : this.lanes.entrySet()) {
			if (!lane.getKey().equals(account) && !lane.getValue().entries.isEmpty()) {
				total += this.weights.weight(lane.getKey());
			}
		}
		return this.weights.weight(account) / total;
	}

	private static final class Lane<T> {

		private final Set<T> entries = new LinkedHashSet<>();

		private double start;

		private double cost = 1;

	}

}
