package io.verbenatrack.model;

/**
 * Both readings of a lease clock at one moment.
 *
 * @param held the reading for permissions that this process holds
 * @param granted the reading for permissions that this process granted
 */
public record ClockReading(HeldTime held, GrantedTime granted) {

}
