package io.verbenatrack.fleet.model;

import io.verbenatrack.model.ServiceId;

/**
 * The workers of a service.
 *
 * @param service the service
 * @param enforcesCapacity whether its workers refuse what does not fit
 */
public record WorkerPool(ServiceId service, boolean enforcesCapacity) {

}
