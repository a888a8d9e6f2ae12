package io.verbenatrack.routing;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;

/**
 * What a target announces of itself.
 *
 * @param id the target
 * @param service the service it serves
 * @param zone its availability zone
 * @param url where it listens, such as {@code http://127.0.0.1:9000}
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts, over all instances
 */
public record TargetSpec(TargetId id, ServiceId service, ZoneId zone, String url, int slots, int connections) {

}
