/**
 * The rules that decide on requests, one a class.
 */
package io.verbenatrack.routing.rules;
