package io.verbenatrack.routing;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;

/**
 * The announced properties of a target.
 *
 * @param id the id of the target
 * @param service the service that the target serves
 * @param zone the availability zone of the target
 * @param url the base URL of the target, such as {@code http://127.0.0.1:9000}
 * @param slots the number of requests that the target runs at once
 * @param connections the number of connections that the target accepts from all instances
 * together
 */
public record TargetSpec(TargetId id, ServiceId service, ZoneId zone, String url, int slots, int connections) {

}
