package io.verbenatrack.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RegionId;
import io.verbenatrack.model.ZoneId;

/**
 * What one instance is told at its start.
 *
 * @param cluster the name that all instances of one deployment share
 * @param instance the instance itself
 * @param region its region
 * @param zone its availability zone
 * @param http where it listens for HTTP
 * @param grpc where it listens for other instances
 * @param data the folder of its durable state; present exactly on control replicas
 * @param peers the other instances
 * @param limits sizes and counts past which it refuses
 * @param timeouts how long it waits
 * @param telemetry where logs and traces go
 */
public record InstanceSettings(String cluster, InstanceId instance, RegionId region, ZoneId zone, SocketAddress http,
		SocketAddress grpc, Optional<Path> data, List<PeerSettings> peers, LimitSettings limits,
		TimeoutSettings timeouts, TelemetrySettings telemetry) {

	public InstanceSettings {
		peers = List.copyOf(peers);
	}

	/**
	 * Whether this instance holds a copy of the control log.
	 * @return whether it has a data folder
	 */
	public boolean replica() {
		return this.data.isPresent();
	}

	/**
	 * The same settings with another data folder.
	 * @param folder the folder
	 * @return the new settings
	 */
	public InstanceSettings withData(Path folder) {
		return new InstanceSettings(this.cluster, this.instance, this.region, this.zone, this.http, this.grpc,
				Optional.of(folder), this.peers, this.limits, this.timeouts, this.telemetry);
	}

}
