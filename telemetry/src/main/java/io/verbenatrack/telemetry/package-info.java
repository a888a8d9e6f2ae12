/**
 * Log events, metrics and traces.
 */
package io.verbenatrack.telemetry;
