package io.verbenatrack.fleet.model;

import io.verbenatrack.model.WorkerId;

/**
 * An incarnation of a worker, from one start of its process to the next. A worker that
 * restarts under the same name has lost all runs and state of its previous incarnation.
 *
 * @param worker the worker
 * @param bornMillis when the incarnation started, in milliseconds since the epoch
 */
public record WorkerIncarnation(WorkerId worker, long bornMillis) {

}
