package io.verbenatrack.model;

/**
 * The description that a worker sends when it announces itself.
 *
 * @param id the worker
 * @param zone its availability zone
 * @param rack its rack
 * @param positionInRack its position in the rack, from 0; adjacent workers differ by 1
 * @param cores its number of processor cores
 * @param memoryGib its memory in GiB
 * @param accelerators its number of accelerators, which are numbered from 0; adjacent
 * accelerators differ by 1
 */
public record WorkerSpec(WorkerId id, ZoneId zone, RackId rack, int positionInRack, int cores, int memoryGib,
		int accelerators) {

	public WorkerSpec {
		if (positionInRack < 0 || cores < 0 || memoryGib < 0 || accelerators < 0) {
			throw new IllegalArgumentException("Worker " + id
					+ " announced a negative size. Correct its position, cores, memory or accelerators.");
		}
	}

}
