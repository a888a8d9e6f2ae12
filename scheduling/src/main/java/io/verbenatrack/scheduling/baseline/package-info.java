/**
 * Baseline policies that the guarantee policy is compared with.
 */
package io.verbenatrack.scheduling.baseline;
