/**
 * State machines that are replicated by the control log, and the encodings of their
 * commands, results and snapshots.
 */
package io.verbenatrack.state;
