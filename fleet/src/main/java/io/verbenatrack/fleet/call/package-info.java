/**
 * What is asked of the leader of the fleet, and its replies.
 */
package io.verbenatrack.fleet.call;
