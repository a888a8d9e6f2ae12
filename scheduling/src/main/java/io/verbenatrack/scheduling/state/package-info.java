/**
 * What is known of jobs, gangs, workers and leases, changed by decisions only.
 */
package io.verbenatrack.scheduling.state;
