/**
 * Load generator for instance processes that are killed and restarted during the run,
 * with a check of all reported outcomes.
 */
package io.verbenatrack.bench.process;
