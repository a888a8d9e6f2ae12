package io.verbenatrack.control;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * The network address of a replica.
 *
 * @param instance the instance
 * @param host its IP address
 * @param port its gRPC port
 */
public record ReplicaPeer(InstanceId instance, String host, int port) {

	/**
	 * Returns the address in the format of member records.
	 * @return host and port, separated by a colon
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

	/**
	 * Returns the member record of this replica.
	 * @param incarnation its incarnation, empty if it is unknown
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
