/**
 * The configuration that an instance acts on.
 */
package io.verbenatrack.server.configuration;
