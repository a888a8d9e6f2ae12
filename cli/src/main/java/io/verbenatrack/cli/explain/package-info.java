/**
 * Reads the logs of several instances.
 */
package io.verbenatrack.cli.explain;
