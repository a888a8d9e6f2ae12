/**
 * Measures the slopes that docs/CAPACITY.md works its figures out from.
 */
package io.verbenatrack.bench.capacity;
