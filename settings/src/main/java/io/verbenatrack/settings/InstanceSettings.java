package io.verbenatrack.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RegionId;
import io.verbenatrack.model.ZoneId;

/**
 * The settings that an instance reads at startup.
 *
 * @param cluster the name that all instances of one deployment share
 * @param instance the instance itself
 * @param region its region
 * @param zone its availability zone
 * @param http the address on which it listens for HTTP
 * @param grpc the address on which it listens for other instances
 * @param data the directory of its durable state; present if and only if the instance is
 * a control replica
 * @param peers the other instances
 * @param limits the size and count limits
 * @param timeouts the timeouts, leases and intervals
 * @param telemetry the settings for logs and traces
 */
public record InstanceSettings(String cluster, InstanceId instance, RegionId region, ZoneId zone, SocketAddress http,
		SocketAddress grpc, Optional<Path> data, List<PeerSettings> peers, LimitSettings limits,
		TimeoutSettings timeouts, TelemetrySettings telemetry) {

	public InstanceSettings {
		peers = List.copyOf(peers);
	}

	/**
	 * Returns whether this instance is a replica of the control log.
	 * @return whether it has a data directory
	 */
	public boolean replica() {
		return this.data.isPresent();
	}

	/**
	 * Returns a copy of these settings with another data directory.
	 * @param folder the directory
	 * @return the new settings
	 */
	public InstanceSettings withData(Path folder) {
		return new InstanceSettings(this.cluster, this.instance, this.region, this.zone, this.http, this.grpc,
				Optional.of(folder), this.peers, this.limits, this.timeouts, this.telemetry);
	}

}
