/**
 * The scheduling policy that honours guarantees and prevents starvation of large gangs.
 */
package io.verbenatrack.scheduling.policy;
