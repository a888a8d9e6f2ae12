/**
 * Merges the logs of several instances into the timeline of one id.
 */
package io.verbenatrack.cli.explain;
