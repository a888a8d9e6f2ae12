package io.verbenatrack.control;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Where a replica can be reached.
 *
 * @param instance the instance
 * @param host its address, an IP number
 * @param port its gRPC port
 */
public record ReplicaPeer(InstanceId instance, String host, int port) {

	/**
	 * The address as members carry it.
	 * @return host and port, separated by a colon
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

	/**
	 * This replica as a member.
	 * @param incarnation its incarnation, empty when it is not known
	 * @return the member
	 */
	public ReplicaMember member(String incarnation) {
		return ReplicaMember.newBuilder()
			.setInstance(this.instance.value())
			.setIncarnation(incarnation)
			.setAddress(address())
			.build();
	}

}
