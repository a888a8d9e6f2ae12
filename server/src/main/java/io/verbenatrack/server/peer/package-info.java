/**
 * Calls between instances.
 */
package io.verbenatrack.server.peer;
