/**
 * Benchmarks of request routing with reproducible seeds.
 */
package io.verbenatrack.bench.routing;
