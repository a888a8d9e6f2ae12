/**
 * The daemon of an instance.
 */
package io.verbenatrack.server;
