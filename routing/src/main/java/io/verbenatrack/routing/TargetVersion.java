package io.verbenatrack.routing;

import java.util.Comparator;

import io.verbenatrack.model.InstanceId;

/**
 * A Lamport timestamp that orders the updates of a target (Lamport, CACM 21(7), 1978).
 *
 * @param counter a number larger than all counters that the origin has seen before
 * @param origin the instance that created the update
 */
public record TargetVersion(long counter, InstanceId origin) implements Comparable<TargetVersion> {

	private static final Comparator<TargetVersion> ORDER = Comparator.comparingLong(TargetVersion::counter)
		.thenComparing(TargetVersion::origin);

	@Override
	public int compareTo(TargetVersion other) {
		return ORDER.compare(this, other);
	}

}
