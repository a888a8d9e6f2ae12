/**
 * Benchmark of the scheduling policies with reproducible seeds and a virtual clock.
 */
package io.verbenatrack.bench.scheduling;
