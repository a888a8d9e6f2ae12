/**
 * Property tests of scheduler invariants on seeded random sequences of events.
 */
package io.verbenatrack.scheduling.property;
