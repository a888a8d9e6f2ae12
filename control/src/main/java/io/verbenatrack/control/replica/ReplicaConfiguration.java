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
 * @param namedAtFirstStart whether the settings named this instance as an initial member
 * when its data folder was first used
 */
public record ReplicaConfiguration(String clusterName, ReplicaMember self, List<ReplicaMember> initialMembers,
		ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy, boolean namedAtFirstStart) {

	public ReplicaConfiguration {
		initialMembers = List.copyOf(initialMembers);
	}

	/**
	 * Creates the configuration of a replica whose settings have not changed since its
	 * first start.
	 * @param clusterName the name that all replicas of a cluster share
	 * @param self this replica
	 * @param initialMembers the instances that form the cluster, without incarnations
	 * @param timings its intervals and timeouts
	 * @param limits its limits
	 * @param membershipPolicy the target membership and the conditions for changing it
	 */
	public ReplicaConfiguration(String clusterName, ReplicaMember self, List<ReplicaMember> initialMembers,
			ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy) {
		this(clusterName, self, initialMembers, timings, limits, membershipPolicy,
				initialMembers.stream().anyMatch((member) -> member.getInstance().equals(self.getInstance())));
	}

}
