/**
 * gRPC calls between instances.
 */
package io.verbenatrack.server.peer;
