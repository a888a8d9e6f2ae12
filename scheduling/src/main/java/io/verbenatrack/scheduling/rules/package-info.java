/**
 * The individual scheduling rules. Each class is named after what it decides.
 */
package io.verbenatrack.scheduling.rules;
