package io.verbenatrack.control.replica;

import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;

/**
 * An entry that a quorum holds on disk.
 *
 * @param entry the entry
 * @param token the proposal that brought it here, 0 when it was not proposed here
 * @param membership the membership that holds at it
 */
public record CommittedEntry(LogEntry entry, long token, Membership membership) {

}
