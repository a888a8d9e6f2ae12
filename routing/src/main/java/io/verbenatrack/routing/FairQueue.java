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

	private final Map<AccountId, Flow<T>> flows = new TreeMap<>();

	private double virtualTime;

	private int size;

	FairQueue(AccountWeights weights) {
		this.weights = weights;
	}

	void add(AccountId account, T entry) {
		Flow<T> flow = this.flows.computeIfAbsent(account, (id) -> new Flow<>());
		if (flow.entries.isEmpty()) {
			flow.virtualStart = Math.max(flow.virtualStart, this.virtualTime);
		}
		this.size += flow.entries.add(entry) ? 1 : 0;
	}

	boolean remove(AccountId account, T entry) {
		Flow<T> flow = this.flows.get(account);
		boolean removed = flow != null && flow.entries.remove(entry);
		this.size -= removed ? 1 : 0;
		return removed;
	}

	Optional<T> poll() {
		Map.Entry<AccountId, Flow<T>> next = null;
		for (Map.Entry<AccountId, Flow<T>> candidate : this.flows.entrySet()) {
			if (!candidate.getValue().entries.isEmpty()
					&& (next == null || candidate.getValue().virtualStart < next.getValue().virtualStart)) {
				next = candidate;
			}
		}
		return (next != null) ? Optional.of(dequeue(next.getKey(), next.getValue())) : Optional.empty();
	}

	private T dequeue(AccountId account, Flow<T> flow) {
		T entry = flow.entries.iterator().next();
		flow.entries.remove(entry);
		this.size--;
		this.virtualTime = flow.virtualStart;
		flow.virtualStart += flow.cost / this.weights.weight(account);
		this.flows.values().removeIf((idle) -> idle.entries.isEmpty() && idle.virtualStart < this.virtualTime);
		return entry;
	}

	/**
	 * Sets the cost of the entries of an account. Has no effect on an account that the
	 * queue does not track.
	 * @param account the account
	 * @param cost the mean cost of its entries, relative to the mean of all entries
	 */
	void setCost(AccountId account, double cost) {
		Flow<T> flow = this.flows.get(account);
		if (flow != null) {
			flow.cost = cost;
		}
	}

	int size() {
		return this.size;
	}

	int size(AccountId account) {
		Flow<T> flow = this.flows.get(account);
		return (flow != null) ? flow.entries.size() : 0;
	}

	/**
	 * Returns the share of the capacity that an account gets among all accounts with
	 * queued entries.
	 * @param account the account
	 * @return the share, above 0 and up to 1
	 */
	double share(AccountId account) {
		double total = this.weights.weight(account);
		for (Map.Entry<AccountId, Flow<T>> flow : this.flows.entrySet()) {
			if (!flow.getKey().equals(account) && !flow.getValue().entries.isEmpty()) {
				total += this.weights.weight(flow.getKey());
			}
		}
		return this.weights.weight(account) / total;
	}

	private static final class Flow<T> {

		private final Set<T> entries = new LinkedHashSet<>();

		private double virtualStart;

		private double cost = 1;

	}

}
