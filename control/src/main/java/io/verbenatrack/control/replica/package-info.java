/**
 * The replica's protocol as a pure function of its events, so that a seed replays it.
 */
package io.verbenatrack.control.replica;
