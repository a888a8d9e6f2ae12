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
 * Merges the news that targets give to any instance.
 * <p>
 * News of a target joins by incarnation, then by phase, then by version, so that every
 * order of arrival ends the same and a late renewal never revives a leaving target. A
 * target is eligible only while news of it is fresh, which bounds how long an instance
 * that hears nothing more goes on sending to it. Safe for use by many threads.
 */
public final class VersionedTargetDirectory implements TargetDirectory {

	/** How long a target may go on without renewal; it renews thrice as often. */
	public static final Duration LEASE = Duration.ofSeconds(3);

	/** How long news of a target counts for new requests. */
	public static final Duration FRESHNESS = Duration.ofMillis(1900);

	private static final Duration TOMBSTONE = Duration.ofSeconds(60);

	private final InstanceId self;

	private final Map<TargetId, Entry> entries = new TreeMap<>();

	private long counter;

	private long revision;

	/**
	 * Creates an empty directory.
	 * @param self the instance it belongs to
	 */
	public VersionedTargetDirectory(InstanceId self) {
		this.self = self;
	}

	/**
	 * Takes the announcement of a target to this instance.
	 * @param spec what it announces
	 * @param incarnation which start of the target it is, 0 when it does not count
	 * @param load how many requests it runs
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the news for the other instances
	 */
	public synchronized TargetDelta announce(TargetSpec spec, long incarnation, int load, long nowNanos) {
		return announce(spec, incarnation, TargetPhase.SERVING, load, nowNanos);
	}

	/**
	 * Takes the announcement of a target that says whether it is leaving. Even an entry
	 * that is cut off from the others then learns it with the next renewal.
	 * @param spec what it announces
	 * @param incarnation which start of the target it is, 0 when it does not count
	 * @param announced where it says it stands
	 * @param load how many requests it runs
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the news for the other instances
	 */
	public synchronized TargetDelta announce(TargetSpec spec, long incarnation, TargetPhase announced, int load,
			long nowNanos) {
		Entry known = this.entries.get(spec.id());
		TargetPhase phase = announced;
		if (known != null && known.isSameStart(spec, incarnation) && known.phase(nowNanos) == TargetPhase.LEAVING) {
			phase = TargetPhase.LEAVING;
		}
		long start = (known != null && known.mustRestart(spec, incarnation, nowNanos))
				? Math.max(incarnation, known.delta.incarnation() + 1) : incarnation;
		start = (known != null) ? Math.max(start, known.delta.incarnation()) : start;
		TargetDelta delta = new TargetDelta(nextVersion(), spec, start, phase, load, 0);
		put(delta, nowNanos);
		return delta;
	}

	/**
	 * Takes the news that a target is leaving.
	 * @param target the target
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the news for the other instances, or empty when the target is not known
	 * here
	 */
	public synchronized Optional<TargetDelta> drain(TargetId target, long nowNanos) {
		Entry known = this.entries.get(target);
		if (known == null || known.phase(nowNanos) == TargetPhase.LEFT) {
			return Optional.empty();
		}
		TargetDelta delta = known.delta.withPhase(TargetPhase.LEAVING, nextVersion()).withAge(0);
		put(delta, nowNanos);
		return Optional.of(delta);
	}

	/**
	 * Joins news from another instance.
	 * @param delta the news
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it was news
	 */
	public synchronized boolean merge(TargetDelta delta, long nowNanos) {
		this.counter = Math.max(this.counter, delta.version().counter());
		Entry known = this.entries.get(delta.spec().id());
		if (known != null && !isNewer(delta, known.delta)) {
			return false;
		}
		put(delta, nowNanos);
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
	 * The news since a revision of this directory; 0 asks for all.
	 * @param since the revision that the asker has
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the changed targets only, in order of their revisions
	 */
	public synchronized List<TargetDelta> changesSince(long since, long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.revision > since)
			.sorted((a, b) -> Long.compare(a.revision, b.revision))
			.map((entry) -> entry.delta.withAge(TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.heardAtNanos)))
			.toList();
	}

	/**
	 * The number of changes taken so far.
	 * @return the revision to pass to {@link #changesSince}
	 */
	public synchronized long revision() {
		return this.revision;
	}

	/**
	 * Forgets targets that left long ago.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void forgetLeft(long nowNanos) {
		this.entries.values().removeIf((entry) -> nowNanos - entry.heardAtNanos > TOMBSTONE.toNanos());
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
	 * Every target that is known, for the views.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the targets in order of their ids
	 */
	public synchronized List<TargetView> all(long nowNanos) {
		return this.entries.values().stream().map((entry) -> entry.view(nowNanos)).toList();
	}

	private TargetVersion nextVersion() {
		return new TargetVersion(++this.counter, this.self);
	}

	private void put(TargetDelta delta, long nowNanos) {
		long heardAt = nowNanos - TimeUnit.MILLISECONDS.toNanos(delta.ageMillis());
		this.entries.put(delta.spec().id(), new Entry(delta, heardAt, ++this.revision));
	}

	private record Entry(TargetDelta delta, long heardAtNanos, long revision) {

		private TargetPhase phase(long nowNanos) {
			return (nowNanos - this.heardAtNanos > LEASE.toNanos()) ? TargetPhase.LEFT : this.delta.phase();
		}

		private boolean isEligible(long nowNanos) {
			return this.delta.phase() == TargetPhase.SERVING && nowNanos - this.heardAtNanos <= FRESHNESS.toNanos();
		}

		private boolean isSameStart(TargetSpec spec, long incarnation) {
			return incarnation <= this.delta.incarnation() && spec.url().equals(this.delta.spec().url());
		}

		private boolean mustRestart(TargetSpec spec, long incarnation, long nowNanos) {
			return !spec.url().equals(this.delta.spec().url())
					|| (this.delta.phase() != TargetPhase.SERVING && phase(nowNanos) == TargetPhase.LEFT);
		}

		private TargetView view(long nowNanos) {
			return new TargetView(this.delta.spec(), phase(nowNanos), this.delta.load(), this.heardAtNanos);
		}

	}

}
