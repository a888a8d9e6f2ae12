package io.verbenatrack.cli;

/**
 * The output format of a command.
 */
enum OutputFormat {

	/** Lines and tables for people. */
	TEXT,

	/** JSON for programs. */
	JSON

}
