/**
 * The lifecycle of gangs from placement to outcome, independent of the policy.
 */
package io.verbenatrack.scheduling.lifecycle;
