package io.verbenatrack.control.driver;

import java.util.Optional;

import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.Membership;

/**
 * The status of a replica as of its latest processed event.
 *
 * @param role its role
 * @param term its current term
 * @param leader the leader, if known
 * @param cluster the cluster that it belongs to, empty if none
 * @param commitIndex the highest index known to be committed
 * @param lastIndex the last index of its log
 * @param lastTerm the term of the last entry
 * @param membership the latest membership in its log
 * @param leading whether it is the leader, holds its lease and has committed an entry of
 * its term
 * @param leaseEnd when the lease ends
 * @param termStartIndex the index of the first entry of its term as leader
 */
public record ReplicaStatus(ReplicaRole role, long term, Optional<InstanceId> leader, String cluster, long commitIndex,
		long lastIndex, long lastTerm, Membership membership, boolean leading, HeldTime leaseEnd, long termStartIndex) {

}
