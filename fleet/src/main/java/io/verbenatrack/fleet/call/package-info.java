/**
 * Calls to the leader of the fleet, and the replies to them.
 */
package io.verbenatrack.fleet.call;
