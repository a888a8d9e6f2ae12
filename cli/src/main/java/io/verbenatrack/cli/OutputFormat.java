package io.verbenatrack.cli;

/**
 * The form of a command's output.
 */
enum OutputFormat {

	/** Lines and tables for people. */
	TEXT,

	/** JSON for programs. */
	JSON

}
