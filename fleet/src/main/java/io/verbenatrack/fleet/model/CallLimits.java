package io.verbenatrack.fleet.model;

/**
 * Limits on the calls that clients may send.
 *
 * @param headerBytes the maximum size of the request header in bytes
 * @param bodyBytes the maximum size of the request body in bytes
 * @param headerTimeoutMillis the time limit for receiving the header in milliseconds
 * @param idleTimeoutMillis how long a connection may be idle, in milliseconds
 */
public record CallLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

}
