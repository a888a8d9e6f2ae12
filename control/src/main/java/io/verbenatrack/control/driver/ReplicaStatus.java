package io.verbenatrack.control.driver;

import java.util.Optional;

import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.Membership;

/**
 * What a replica says of itself, as of its latest event.
 *
 * @param role what it does
 * @param term the term it is in
 * @param leader who leads, if known
 * @param cluster the cluster it belongs to, empty when none
 * @param commitIndex how far its log is known to be committed
 * @param lastIndex where its log ends
 * @param lastTerm the term of the last entry
 * @param membership who holds the log
 * @param leading whether it leads, holds its lease and knows what is committed
 * @param leaseEndNanos when the lease ends, on the monotonic clock
 * @param termStartIndex the first index of the term in which it leads
 */
public record ReplicaStatus(ReplicaRole role, long term, Optional<InstanceId> leader, String cluster, long commitIndex,
		long lastIndex, long lastTerm, Membership membership, boolean leading, long leaseEndNanos,
		long termStartIndex) {

}
