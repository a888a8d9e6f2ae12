package io.verbenatrack.routing;

import java.util.Comparator;

import io.verbenatrack.model.InstanceId;

/**
 * Orders the news of a target by a Lamport clock (Lamport, CACM 21(7), 1978).
 *
 * @param counter one more than every counter seen by the origin before
 * @param origin the instance that heard the news from the target
 */
public record TargetVersion(long counter, InstanceId origin) implements Comparable<TargetVersion> {

	private static final Comparator<TargetVersion> ORDER = Comparator.comparingLong(TargetVersion::counter)
		.thenComparing(TargetVersion::origin);

	@Override
	public int compareTo(TargetVersion other) {
		return ORDER.compare(this, other);
	}

}
