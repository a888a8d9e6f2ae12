package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells which entries of the replicated state have been kept long enough. A new leader
 * counts the time of each entry from the start of its term.
 *
 * @param <K> the type of the entries
 */
final class Retention<K> {

	private static final long SWEEP_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	/** Limits the size of a command. */
	private static final int MAX_EXPIRED = 500;

	private final long retentionNanos;

	private final Map<K, Long> seenNanos = new LinkedHashMap<>();

	private long nextSweepNanos;

	/**
	 * Creates a retention without entries.
	 * @param retention how long an entry is kept, at least
	 * @param startNanos the start of the term in nanoseconds of the monotonic clock
	 */
	Retention(Duration retention, long startNanos) {
		this.retentionNanos = retention.toNanos();
		this.nextSweepNanos = startNanos;
	}

	/**
	 * Returns whether it is time for {@link #expired}, which reads all entries.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return whether the last sweep was long ago
	 */
	boolean beginSweep(long nowNanos) {
		if (nowNanos - this.nextSweepNanos < 0) {
			return false;
		}
		this.nextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
		return true;
	}

	/**
	 * Returns entries that have been kept long enough.
	 * @param entries all entries, in the order in which they are counted if several are
	 * new
	 * @param inUse the entries that are kept in any case
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the oldest expired entries that are not in use
	 */
	List<K> expired(Set<K> entries, Set<K> inUse, long nowNanos) {
		this.seenNanos.keySet().retainAll(entries);
		entries.forEach((entry) -> this.seenNanos.putIfAbsent(entry, nowNanos));
		List<K> expired = new ArrayList<>();
		for (Map.Entry<K, Long> seen : this.seenNanos.entrySet()) {
			if (nowNanos - seen.getValue() < this.retentionNanos || expired.size() == MAX_EXPIRED) {
				break;
			}
			if (!inUse.contains(seen.getKey())) {
				expired.add(seen.getKey());
			}
		}
		return expired;
	}

	/**
	 * Returns when the next entry expires.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time until then, or empty without entries
	 */
	Optional<Duration> untilNext(long nowNanos) {
		return this.seenNanos.values()
			.stream()
			.findFirst()
			.map((seen) -> Duration.ofNanos(Math.max(0, seen + this.retentionNanos - nowNanos)));
	}

}
