/**
 * The HTTP API.
 */
package io.verbenatrack.server.http;
