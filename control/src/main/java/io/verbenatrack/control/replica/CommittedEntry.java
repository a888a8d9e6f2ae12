package io.verbenatrack.control.replica;

import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;

/**
 * An entry that is durable on a quorum.
 *
 * @param entry the entry
 * @param token the token of its proposal, 0 if it was not proposed on this replica
 * @param membership the membership in effect at its index
 */
public record CommittedEntry(LogEntry entry, long token, Membership membership) {

}
