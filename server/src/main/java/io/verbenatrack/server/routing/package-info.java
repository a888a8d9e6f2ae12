/**
 * Routing of requests from callers to targets over HTTP.
 */
package io.verbenatrack.server.routing;
