/**
 * Value types shared by all modules: identifiers, specifications, declarations, outcomes
 * and state charts.
 */
package io.verbenatrack.model;
