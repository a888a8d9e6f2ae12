package io.verbenatrack.settings;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RegionId;
import io.verbenatrack.model.ZoneId;

/**
 * Another instance of the same deployment.
 *
 * @param instance the other instance
 * @param region its region
 * @param zone its availability zone
 * @param grpc the address on which it listens for other instances
 * @param replica whether it is a replica of the control log
 */
public record PeerSettings(InstanceId instance, RegionId region, ZoneId zone, SocketAddress grpc, boolean replica) {

}
