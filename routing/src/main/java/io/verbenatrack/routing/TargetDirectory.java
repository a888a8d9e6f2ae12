package io.verbenatrack.routing;

import java.util.List;

import io.verbenatrack.model.ServiceId;

/**
 * The known targets of each service.
 */
public interface TargetDirectory {

	/**
	 * Returns the targets that may get new requests, which are those that are serving and
	 * were recently updated.
	 * @param service the service
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the targets in order of their ids
	 */
	List<TargetView> eligible(ServiceId service, long nowNanos);

}
