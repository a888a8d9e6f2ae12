/**
 * Request routing: admission, queueing, target selection, retries and hedging.
 * <p>
 * The code does no input or output. It maps events to decisions, which the server carries
 * out.
 */
package io.verbenatrack.routing;
