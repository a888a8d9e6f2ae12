/**
 * The interface of the decisions on requests.
 */
package io.verbenatrack.routing;
