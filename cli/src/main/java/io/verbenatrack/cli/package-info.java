/**
 * The command line interface.
 */
package io.verbenatrack.cli;
