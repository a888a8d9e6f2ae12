/**
 * The configuration: which change won which revision.
 */
package io.verbenatrack.state.configuration;
