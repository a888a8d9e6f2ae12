/**
 * A seeded bench of the decisions on jobs, with a virtual clock.
 */
package io.verbenatrack.bench.scheduling;
