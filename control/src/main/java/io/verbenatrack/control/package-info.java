/**
 * The replicated log of control commands.
 */
package io.verbenatrack.control;
