/**
 * The policy that keeps guarantees and does not starve large gangs.
 */
package io.verbenatrack.scheduling.policy;
