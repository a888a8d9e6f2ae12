/**
 * Simple policies that the guarantee policy is measured against.
 */
package io.verbenatrack.scheduling.baseline;
