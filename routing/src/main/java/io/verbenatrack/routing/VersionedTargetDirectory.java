package io.verbenatrack.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;

/**
 * A replicated directory that merges the announcements of targets to any instance.
 * <p>
 * Updates of a target are ordered by incarnation, then by phase, then by version. The
 * merged state therefore does not depend on the order of arrival, and a late renewal
 * never returns a leaving target to service. A target is eligible only while its last
 * update is recent, which bounds how long an instance that receives no more updates keeps
 * dispatching to it. Thread-safe.
 */
public final class VersionedTargetDirectory implements TargetDirectory {

	/** How long an announcement is valid; targets renew it three times in this period. */
	public static final Duration LEASE = Duration.ofSeconds(3);

	/** The largest age of the last update at which a target gets new requests. */
	public static final Duration MAXIMUM_UPDATE_AGE = Duration.ofMillis(1900);

	private static final Duration TOMBSTONE_RETENTION = Duration.ofSeconds(60);

	private final InstanceId self;

	private final Map<TargetId, Entry> entries = new TreeMap<>();

	private long counter;

	private long revision;

	/**
	 * Creates an empty directory.
	 * @param self the instance that the directory belongs to
	 */
	public VersionedTargetDirectory(InstanceId self) {
		this.self = self;
	}

	/**
	 * Records the announcement of a serving target to this instance.
	 * @param spec the announced properties
	 * @param incarnation a number that increases with each start of the target, or 0 when
	 * the target does not count its starts
	 * @param load the number of requests that the target runs
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the update to send to the other instances
	 */
	public synchronized TargetDelta announce(TargetSpec spec, long incarnation, int load, long nowNanos) {
		return announce(spec, incarnation, TargetPhase.SERVING, load, nowNanos);
	}

	/**
	 * Records the announcement of a target with its phase. Because renewals carry the
	 * phase, an instance that is partitioned from the others also learns that the target
	 * is leaving.
	 * @param spec the announced properties
	 * @param incarnation a number that increases with each start of the target, or 0 when
	 * the target does not count its starts
	 * @param announced the announced phase
	 * @param load the number of requests that the target runs
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the update to send to the other instances
	 */
	public synchronized TargetDelta announce(TargetSpec spec, long incarnation, TargetPhase announced, int load,
			long nowNanos) {
		Entry known = this.entries.get(spec.id());
		TargetPhase phase = announced;
		if (known != null && known.isSameIncarnation(spec, incarnation)
				&& known.phase(nowNanos) == TargetPhase.LEAVING) {
			phase = TargetPhase.LEAVING;
		}
		long effectiveIncarnation = (known != null && known.needsNewIncarnation(spec, incarnation, nowNanos))
				? Math.max(incarnation, known.delta.incarnation() + 1) : incarnation;
		effectiveIncarnation = (known != null) ? Math.max(effectiveIncarnation, known.delta.incarnation())
				: effectiveIncarnation;
		TargetDelta delta = new TargetDelta(nextVersion(), spec, effectiveIncarnation, phase, load, 0);
		store(delta, nowNanos);
		return delta;
	}

	/**
	 * Marks a target as leaving.
	 * @param target the target
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the update to send to the other instances, or empty when this directory
	 * does not know the target or its lease has expired
	 */
	public synchronized Optional<TargetDelta> drain(TargetId target, long nowNanos) {
		Entry known = this.entries.get(target);
		if (known == null || known.phase(nowNanos) == TargetPhase.LEFT) {
			return Optional.empty();
		}
		TargetDelta delta = known.delta.withPhase(TargetPhase.LEAVING, nextVersion()).withAge(0);
		store(delta, nowNanos);
		return Optional.of(delta);
	}

	/**
	 * Merges an update from another instance.
	 * @param delta the update
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the update was newer than the known state of the target
	 */
	public synchronized boolean merge(TargetDelta delta, long nowNanos) {
		this.counter = Math.max(this.counter, delta.version().counter());
		Entry known = this.entries.get(delta.spec().id());
		if (known != null && !isNewer(delta, known.delta)) {
			return false;
		}
		store(delta, nowNanos);
		return true;
	}

	private static boolean isNewer(TargetDelta candidate, TargetDelta known) {
		if (candidate.incarnation() != known.incarnation()) {
			return candidate.incarnation() > known.incarnation();
		}
		if (candidate.phase() != known.phase()) {
			return candidate.phase().compareTo(known.phase()) > 0;
		}
		return candidate.version().compareTo(known.version()) > 0;
	}

	/**
	 * Returns the targets that changed after a revision of this directory.
	 * @param since the revision that the receiver already has, 0 for none
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the updates in order of their revisions
	 */
	public synchronized List<TargetDelta> changesSince(long since, long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.revision > since)
			.sorted((a, b) -> Long.compare(a.revision, b.revision))
			.map((entry) -> entry.delta.withAge(TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.updatedAtNanos)))
			.toList();
	}

	/**
	 * Returns the current revision, which is the number of updates recorded so far.
	 * @return the revision to pass to {@link #changesSince}
	 */
	public synchronized long revision() {
		return this.revision;
	}

	/**
	 * Removes targets whose last update is more than 60 s old.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void removeExpired(long nowNanos) {
		this.entries.values().removeIf((entry) -> nowNanos - entry.updatedAtNanos > TOMBSTONE_RETENTION.toNanos());
	}

	@Override
	public synchronized List<TargetView> eligible(ServiceId service, long nowNanos) {
		List<TargetView> views = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.delta.spec().service().equals(service) && entry.isEligible(nowNanos)) {
				views.add(entry.view(nowNanos));
			}
		}
		return views;
	}

	/**
	 * Returns all known targets, including those that left.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the targets in order of their ids
	 */
	public synchronized List<TargetView> all(long nowNanos) {
		return this.entries.values().stream().map((entry) -> entry.view(nowNanos)).toList();
	}

	private TargetVersion nextVersion() {
		return new TargetVersion(++this.counter, this.self);
	}

	private void store(TargetDelta delta, long nowNanos) {
		long updatedAt = nowNanos - TimeUnit.MILLISECONDS.toNanos(delta.ageMillis());
		this.entries.put(delta.spec().id(), new Entry(delta, updatedAt, ++this.revision));
	}

	private record Entry(TargetDelta delta, long updatedAtNanos, long revision) {

		private TargetPhase phase(long nowNanos) {
			return (nowNanos - this.updatedAtNanos > LEASE.toNanos()) ? TargetPhase.LEFT : this.delta.phase();
		}

		private boolean isEligible(long nowNanos) {
			return this.delta.phase() == TargetPhase.SERVING
					&& nowNanos - this.updatedAtNanos <= MAXIMUM_UPDATE_AGE.toNanos();
		}

		private boolean isSameIncarnation(TargetSpec spec, long incarnation) {
			return incarnation <= this.delta.incarnation() && spec.url().equals(this.delta.spec().url());
		}

		private boolean needsNewIncarnation(TargetSpec spec, long incarnation, long nowNanos) {
			return !spec.url().equals(this.delta.spec().url())
					|| (this.delta.phase() != TargetPhase.SERVING && phase(nowNanos) == TargetPhase.LEFT);
		}

		private TargetView view(long nowNanos) {
			return new TargetView(this.delta.spec(), phase(nowNanos), this.delta.load(), this.updatedAtNanos);
		}

	}

}
