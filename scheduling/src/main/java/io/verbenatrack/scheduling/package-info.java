/**
 * The interface of the decisions on jobs.
 */
package io.verbenatrack.scheduling;
