/**
 * What an instance asks the leading replica to do, and how it is answered.
 */
package io.verbenatrack.server.command;
