/**
 * Checks that the guarantees in a configuration can all be honoured at the same time.
 */
package io.verbenatrack.scheduling.admission;
