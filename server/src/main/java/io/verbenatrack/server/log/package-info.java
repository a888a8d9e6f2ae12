/**
 * The state machine that the control log drives.
 */
package io.verbenatrack.server.log;
