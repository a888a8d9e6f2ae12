/**
 * Fault-injection tests of the control replicas with seeded schedules, and benchmarks of
 * the control log.
 */
package io.verbenatrack.bench.control;
