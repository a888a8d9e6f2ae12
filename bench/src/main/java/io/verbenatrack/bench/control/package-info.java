/**
 * Seeded schedules of faults against replicas in one process, and measurements of the
 * control log.
 */
package io.verbenatrack.bench.control;
