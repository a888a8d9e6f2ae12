package io.verbenatrack.control.replica;

import java.util.List;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * What a replica knows from its settings and its data folder.
 *
 * @param clusterName the name that all replicas of a cluster share
 * @param self this replica
 * @param initialMembers the instances that form the cluster, without their incarnations;
 * an instance that is none of them joins later
 * @param timings how long it waits
 * @param limits what it holds at most
 * @param membershipPolicy who is to hold the log
 */
public record ReplicaConfiguration(String clusterName, ReplicaMember self, List<ReplicaMember> initialMembers,
		ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy) {

	public ReplicaConfiguration {
		initialMembers = List.copyOf(initialMembers);
	}

}
