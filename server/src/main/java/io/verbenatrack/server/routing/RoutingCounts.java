package io.verbenatrack.server.routing;

/**
 * Counts of the request routing, for metrics.
 *
 * @param open the open exchanges with callers
 * @param queued the requests that wait for a slot
 * @param ejectedTargets the targets ejected by outlier detection
 * @param silentConnections the connections found unresponsive since the start
 */
public record RoutingCounts(int open, int queued, int ejectedTargets, int silentConnections) {

}
