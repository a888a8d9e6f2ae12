/**
 * The threads that drive a replica: its protocol, its disk and its state machine.
 */
package io.verbenatrack.control.driver;
