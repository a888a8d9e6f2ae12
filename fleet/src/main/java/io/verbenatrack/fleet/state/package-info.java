/**
 * The replicated state of the fleet and the commands that change it.
 */
package io.verbenatrack.fleet.state;
