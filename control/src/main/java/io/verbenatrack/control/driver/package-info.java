/**
 * The threads of a replica: protocol, disk and state machine.
 */
package io.verbenatrack.control.driver;
