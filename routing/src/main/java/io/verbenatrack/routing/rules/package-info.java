/**
 * The algorithms that the router uses for its decisions, as pure functions.
 */
package io.verbenatrack.routing.rules;
