/**
 * Seeded benches of request routing.
 */
package io.verbenatrack.bench.routing;
