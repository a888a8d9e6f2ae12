/**
 * The data that callers, workers and operators exchange with the fleet.
 */
package io.verbenatrack.fleet.model;
