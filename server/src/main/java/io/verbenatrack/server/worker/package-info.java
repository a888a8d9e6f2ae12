/**
 * Calls to workers.
 */
package io.verbenatrack.server.worker;
