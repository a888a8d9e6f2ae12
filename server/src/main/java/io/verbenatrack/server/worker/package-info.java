/**
 * The HTTP client for workers.
 */
package io.verbenatrack.server.worker;
