/**
 * The state machine of the control log.
 */
package io.verbenatrack.server.log;
