package io.verbenatrack.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.routing.rules.ConcurrencyGradient;
import io.verbenatrack.routing.rules.LoadShedding;

/**
 * The queued requests of one service and the limit on its concurrent dispatches.
 */
final class ServiceQueue {

	private static final double INITIAL_LIMIT = 64;

	private static final double MINIMUM_LIMIT = 4;

	private static final int MAXIMUM_TRACKED_ACCOUNTS = 1000;

	private final ServiceId service;

	private final FairQueue<Exchange> queue;

	private final ServiceTimes times = new ServiceTimes();

	private final Map<AccountId, ServiceTimes> timesByAccount = new HashMap<>();

	private double limit = INITIAL_LIMIT;

	private int running;

	ServiceQueue(ServiceId service, AccountWeights weights) {
		this.service = service;
		this.queue = new FairQueue<>(weights);
	}

	ServiceId service() {
		return this.service;
	}

	ServiceTimes times() {
		return this.times;
	}

	int size() {
		return this.queue.size();
	}

	void add(Exchange exchange) {
		AccountId account = exchange.request().account();
		this.queue.add(account, exchange);
		ServiceTimes accountTimes = this.timesByAccount.get(account);
		if (accountTimes != null) {
			this.queue.setCost(account,
					(double) Math.max(1, accountTimes.meanNanos()) / Math.max(1, this.times.meanNanos()));
		}
	}

	void remove(Exchange exchange) {
		this.queue.remove(exchange.request().account(), exchange);
	}

	Optional<Exchange> poll() {
		return this.queue.poll();
	}

	long expectedWaitNanos(Exchange exchange, int slots) {
		AccountId account = exchange.request().account();
		int usable = (int) Math.max(1, Math.min(slots, this.limit));
		if (this.queue.size(account) == 0 && this.running < usable) {
			return 0;
		}
		return LoadShedding.expectedWaitNanos(this.queue.size(account) + 1, this.queue.share(account), usable,
				this.times.meanNanos());
	}

	boolean mayDispatch(int slots) {
		return this.running < Math.min(slots, this.limit);
	}

	int running() {
		return this.running;
	}

	void dispatchStarted() {
		this.running++;
	}

	void dispatchFinished() {
		this.running--;
	}

	void recordServiceTime(AccountId account, long nanos, int slots) {
		this.times.add(nanos);
		if (this.timesByAccount.size() >= MAXIMUM_TRACKED_ACCOUNTS && !this.timesByAccount.containsKey(account)) {
			this.timesByAccount.clear();
		}
		this.timesByAccount.computeIfAbsent(account, (id) -> new ServiceTimes()).add(nanos);
		this.limit = ConcurrencyGradient.next(this.limit, this.times.longTermMeanNanos(), this.times.meanNanos(),
				MINIMUM_LIMIT, Math.max(MINIMUM_LIMIT, slots));
	}

}
