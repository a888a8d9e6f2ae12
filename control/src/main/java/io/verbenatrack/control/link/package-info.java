/**
 * Connections between replicas over gRPC.
 */
package io.verbenatrack.control.link;
