/**
 * The state of jobs, gangs, workers and leases, which changes only through decisions.
 */
package io.verbenatrack.scheduling.state;
