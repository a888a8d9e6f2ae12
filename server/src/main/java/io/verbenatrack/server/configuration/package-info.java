/**
 * The declarations that an instance uses, and how it obtains them.
 */
package io.verbenatrack.server.configuration;
