/**
 * Runs a whole night on one instance with stand-in workers and targets.
 */
package io.verbenatrack.cli.local;
