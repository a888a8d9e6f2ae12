/**
 * The duty of the leading replica: decide, replicate, dispatch.
 */
package io.verbenatrack.server.leader;
