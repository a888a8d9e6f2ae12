/**
 * Runs a work file on one instance with stand-in workers and targets.
 */
package io.verbenatrack.cli.local;
