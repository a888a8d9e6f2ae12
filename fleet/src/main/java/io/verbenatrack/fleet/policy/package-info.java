/**
 * Who runs where, who waits and who is preempted.
 */
package io.verbenatrack.fleet.policy;
