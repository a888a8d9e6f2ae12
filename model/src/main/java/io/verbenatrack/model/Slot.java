package io.verbenatrack.model;

/**
 * A contiguous range of accelerators on one worker.
 *
 * @param worker the worker
 * @param firstAccelerator the number of the first accelerator, from 0
 * @param accelerators the number of accelerators, at least 1
 */
public record Slot(WorkerId worker, int firstAccelerator, int accelerators) {

}
