package io.verbenatrack.control.replica;

import java.util.List;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * The configuration of a replica, from its settings and its data folder.
 *
 * @param clusterName the name that all replicas of a cluster share
 * @param self this replica
 * @param initialMembers the instances that form the cluster, without incarnations; other
 * instances join later
 * @param timings its intervals and timeouts
 * @param limits its limits
 * @param membershipPolicy the target membership and the conditions for changing it
 */
public record ReplicaConfiguration(String clusterName, ReplicaMember self, List<ReplicaMember> initialMembers,
		ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy) {

	public ReplicaConfiguration {
		initialMembers = List.copyOf(initialMembers);
	}

}
