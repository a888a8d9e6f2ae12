/**
 * The command line.
 */
package io.verbenatrack.cli;
