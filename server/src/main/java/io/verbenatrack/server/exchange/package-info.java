/**
 * Exchange of target and slot information between instances, and the replicated claim
 * store.
 */
package io.verbenatrack.server.exchange;
