package io.verbenatrack.server.routing;

/**
 * Counts for metrics and views, taken at each tick.
 *
 * @param open sends that are open
 * @param queued sends that wait for a slot
 * @param ejectedTargets targets that are set aside
 * @param silentConnections connections found silent since the start
 */
public record RoutingCounts(int open, int queued, int ejectedTargets, int silentConnections) {

}
