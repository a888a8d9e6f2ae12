/**
 * Loads separate instances while they are killed, and checks what callers were told.
 */
package io.verbenatrack.bench.process;
