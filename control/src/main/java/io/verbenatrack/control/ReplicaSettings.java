package io.verbenatrack.control;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a replica.
 *
 * @param clusterName the name that all replicas of a cluster share
 * @param self this instance and the address at which the others reach it
 * @param replicas the instances with a data folder, which form the cluster
 * @param dataFolder the folder for the files of this replica
 * @param timings its intervals and timeouts
 * @param limits its limits
 * @param membershipPolicy the target membership and the conditions for changing it
 * @param groupCommit whether one disk sync may cover several proposals
 */
public record ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder,
		ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy, boolean groupCommit) {

	public ReplicaSettings {
		replicas = List.copyOf(replicas);
	}

	/**
	 * Creates settings with the default timings, limits and membership policy.
	 * @param clusterName the name that all replicas of a cluster share
	 * @param self this instance and the address at which the others reach it
	 * @param replicas the instances with a data folder
	 * @param dataFolder the folder for the files of this replica
	 */
	public ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder) {
		this(clusterName, self, replicas, dataFolder, MembershipPolicy.DEFAULT);
	}

	/**
	 * Creates settings with the default timings and limits.
	 * @param clusterName the name that all replicas of a cluster share
	 * @param self this instance and the address at which the others reach it
	 * @param replicas the instances with a data folder
	 * @param dataFolder the folder for the files of this replica
	 * @param membershipPolicy the target membership and the conditions for changing it
	 */
	public ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder,
			MembershipPolicy membershipPolicy) {
		this(clusterName, self, replicas, dataFolder, ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT, membershipPolicy,
				true);
	}

}
