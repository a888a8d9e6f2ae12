package io.verbenatrack.control;

import java.nio.file.Path;
import java.util.List;

/**
 * What a replica has to be told.
 *
 * @param clusterName the name that all replicas of a cluster share
 * @param self this instance and where the others reach it
 * @param replicas the instances with a data folder that form the cluster
 * @param dataFolder where this replica keeps its files
 * @param timings how long it waits
 * @param limits what it holds at most
 * @param membershipPolicy who is to hold the log
 * @param groupCommit whether one sync may serve several proposals
 */
public record ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder,
		ReplicaTimings timings, ReplicaLimits limits, MembershipPolicy membershipPolicy, boolean groupCommit) {

	public ReplicaSettings {
		replicas = List.copyOf(replicas);
	}

	/**
	 * Settings with the usual timings and limits.
	 * @param clusterName the name that all replicas of a cluster share
	 * @param self this instance and where the others reach it
	 * @param replicas the instances with a data folder
	 * @param dataFolder where this replica keeps its files
	 */
	public ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder) {
		this(clusterName, self, replicas, dataFolder, MembershipPolicy.DEFAULT);
	}

	/**
	 * Settings with the usual timings and limits.
	 * @param clusterName the name that all replicas of a cluster share
	 * @param self this instance and where the others reach it
	 * @param replicas the instances with a data folder
	 * @param dataFolder where this replica keeps its files
	 * @param membershipPolicy who is to hold the log
	 */
	public ReplicaSettings(String clusterName, ReplicaPeer self, List<ReplicaPeer> replicas, Path dataFolder,
			MembershipPolicy membershipPolicy) {
		this(clusterName, self, replicas, dataFolder, ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT, membershipPolicy,
				true);
	}

}
