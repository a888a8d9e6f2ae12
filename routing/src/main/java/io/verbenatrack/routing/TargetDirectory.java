package io.verbenatrack.routing;

import java.util.List;

import io.verbenatrack.model.ServiceId;

/**
 * Knows the targets of each service.
 */
public interface TargetDirectory {

	/**
	 * The targets that may get new requests: they serve, and were heard of recently.
	 * @param service the service
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the targets, in order of their ids
	 */
	List<TargetView> eligible(ServiceId service, long nowNanos);

}
