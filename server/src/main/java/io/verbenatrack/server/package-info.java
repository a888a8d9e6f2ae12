/**
 * The server process of an instance: wiring, startup and shutdown.
 */
package io.verbenatrack.server;
