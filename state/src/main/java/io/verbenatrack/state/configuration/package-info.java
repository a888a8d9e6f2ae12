/**
 * The replicated configuration: the accepted changes and their revisions.
 */
package io.verbenatrack.state.configuration;
