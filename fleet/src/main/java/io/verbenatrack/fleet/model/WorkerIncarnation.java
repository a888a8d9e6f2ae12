package io.verbenatrack.fleet.model;

import io.verbenatrack.model.WorkerId;

/**
 * One life of a worker. A worker that starts again under its old name holds and knows
 * nothing of before.
 *
 * @param worker the worker
 * @param bornMillis when it started, in milliseconds since 1970
 */
public record WorkerIncarnation(WorkerId worker, long bornMillis) {

}
