package io.verbenatrack.fleet.model;

import io.verbenatrack.model.WorkerId;

/**
 * The learned speed of a worker.
 *
 * @param worker the worker
 * @param percent the speed in percent of the median speed of the fleet
 */
public record WorkerSpeed(WorkerId worker, int percent) {

}
