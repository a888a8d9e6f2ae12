package io.verbenatrack.fleet.model;

import io.verbenatrack.model.ServiceId;

/**
 * The pool of workers of a service.
 *
 * @param service the service
 * @param enforcesCapacity whether its workers refuse runs that exceed their resources
 */
public record WorkerPool(ServiceId service, boolean enforcesCapacity) {

}
