/**
 * Scheduling on the leading replica: decides, replicates the decisions and dispatches
 * them to workers.
 */
package io.verbenatrack.server.leader;
