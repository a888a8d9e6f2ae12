/**
 * Stand-in workers and targets: test doubles that use the published HTTP protocol, and
 * that wait for a configured time instead of executing work.
 */
package io.verbenatrack.standin;
