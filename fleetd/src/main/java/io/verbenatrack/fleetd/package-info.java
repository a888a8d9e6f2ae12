/**
 * Runs the fleet: the leader's loop, the replicated state and calls between instances.
 */
package io.verbenatrack.fleetd;
