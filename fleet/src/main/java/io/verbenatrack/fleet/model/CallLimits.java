package io.verbenatrack.fleet.model;

/**
 * What callers may send.
 *
 * @param headerBytes the largest header
 * @param bodyBytes the largest body
 * @param headerTimeoutMillis how long a header may take
 * @param idleTimeoutMillis how long a connection may be idle
 */
public record CallLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

}
