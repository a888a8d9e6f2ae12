package io.verbenatrack.server.leader;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.WorkerId;

/**
 * The URLs and leases of the workers, held by the leading replica.
 *
 * <p>
 * A worker counts its lease from when it sent the announcement, the leader from when it
 * received it, so the worker always stops first. A new leader grants every known worker a
 * full lease, which ends after any lease that the previous leader granted.
 */
final class WorkerLeases {

	private final Duration lease;

	private final Duration margin;

	private final Map<WorkerId, Entry> entries = new ConcurrentHashMap<>();

	WorkerLeases(Duration lease, Duration margin) {
		this.lease = lease;
		this.margin = margin;
	}

	Duration lease() {
		return this.lease;
	}

	void grantAll(Collection<WorkerId> workers, GrantedTime now) {
		this.entries.clear();
		workers.forEach((worker) -> this.entries.put(worker, new Entry("", "", now)));
	}

	/**
	 * Renews a lease.
	 * @param worker the worker
	 * @param url the base URL of the worker
	 * @param incarnation an identifier that changes whenever the worker loses its running
	 * members
	 * @param now the time
	 * @return whether the worker has lost its running members since its last announcement
	 */
	boolean renew(WorkerId worker, String url, String incarnation, GrantedTime now) {
		Entry before = this.entries.put(worker, new Entry(url, incarnation, now));
		return before != null && !before.incarnation.isEmpty() && !before.incarnation.equals(incarnation);
	}

	boolean isKnown(WorkerId worker) {
		return this.entries.containsKey(worker);
	}

	int size() {
		return this.entries.size();
	}

	Optional<String> url(WorkerId worker) {
		return Optional.ofNullable(this.entries.get(worker)).map(Entry::url).filter((url) -> !url.isEmpty());
	}

	List<WorkerId> removeExpired(GrantedTime now) {
		long limit = this.lease.plus(this.margin).toNanos();
		List<WorkerId> expired = new ArrayList<>();
		this.entries.forEach((worker, entry) -> {
			if (now.nanosSince(entry.renewedAt) > limit) {
				expired.add(worker);
			}
		});
		expired.forEach(this.entries::remove);
		expired.sort(null);
		return expired;
	}

	private record Entry(String url, String incarnation, GrantedTime renewedAt) {

	}

}
