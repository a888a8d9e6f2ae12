/**
 * Replicated state machines over the control log: configuration, claims and jobs.
 */
package io.verbenatrack.state;
