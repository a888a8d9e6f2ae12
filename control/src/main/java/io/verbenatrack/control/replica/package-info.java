/**
 * The replication protocol as a deterministic function of its events, so that a run can
 * be reproduced from its seed.
 */
package io.verbenatrack.control.replica;
