/**
 * Carries requests between callers and targets over HTTP.
 */
package io.verbenatrack.server.routing;
