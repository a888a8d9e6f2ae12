/**
 * Refuses declarations whose guarantees cannot all be honoured at once.
 */
package io.verbenatrack.scheduling.admission;
