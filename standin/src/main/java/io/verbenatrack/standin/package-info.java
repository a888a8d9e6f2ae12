/**
 * Stand-in workers and targets.
 */
package io.verbenatrack.standin;
