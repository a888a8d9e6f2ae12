/**
 * Measures the resource costs from which docs/CAPACITY.md extrapolates.
 */
package io.verbenatrack.bench.capacity;
