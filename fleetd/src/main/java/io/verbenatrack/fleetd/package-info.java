/**
 * Runs the fleet: the loop of the leader, the replicated state, and the calls between
 * instances.
 */
package io.verbenatrack.fleetd;
