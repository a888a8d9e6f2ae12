/**
 * Benches the fleet's policy on virtual workers and a virtual clock.
 */
package io.verbenatrack.bench.fleet;
