/**
 * Commands to the leading replica, and their replies.
 */
package io.verbenatrack.server.command;
