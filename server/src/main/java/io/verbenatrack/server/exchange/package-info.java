/**
 * What this instance knows of targets, and how the others learn it.
 */
package io.verbenatrack.server.exchange;
