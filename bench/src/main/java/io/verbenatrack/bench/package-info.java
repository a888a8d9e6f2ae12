/**
 * Benchmarks and fault-injection tests with reproducible seeds.
 */
package io.verbenatrack.bench;
