/**
 * Benchmark of the fleet scheduling policy with simulated workers and a virtual clock.
 */
package io.verbenatrack.bench.fleet;
