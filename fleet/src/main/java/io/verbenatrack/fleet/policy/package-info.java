/**
 * The scheduling policy: placement, waiting and preemption of tasks.
 */
package io.verbenatrack.fleet.policy;
