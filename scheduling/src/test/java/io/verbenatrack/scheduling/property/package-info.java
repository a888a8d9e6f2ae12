/**
 * Invariants of the decisions over seeded random sequences of events.
 */
package io.verbenatrack.scheduling.property;
