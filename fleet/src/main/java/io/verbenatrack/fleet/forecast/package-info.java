/**
 * Expected run times of tasks and speeds of workers.
 */
package io.verbenatrack.fleet.forecast;
