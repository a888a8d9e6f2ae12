/**
 * What callers, workers and operators tell the fleet.
 */
package io.verbenatrack.fleet.model;
