/**
 * Seeded benches.
 */
package io.verbenatrack.bench;
