/**
 * Carries gangs from placement to outcome; the same under every policy.
 */
package io.verbenatrack.scheduling.lifecycle;
