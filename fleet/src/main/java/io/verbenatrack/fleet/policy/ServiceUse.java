package io.verbenatrack.fleet.policy;

import java.util.Collection;

import io.verbenatrack.fleet.model.Resources;

/**
 * How much of the workers of a service is in use at the beginning of a pass.
 *
 * @param workers the number of workers that may get new tasks
 * @param share the share in use of the resource that is used most, 0 to 1
 */
record ServiceUse(int workers, double share) {

	/** The use of a service without workers. */
	static final ServiceUse NONE = new ServiceUse(0, 0);

	private static final double MOSTLY_IDLE_SHARE = 0.5;

	static ServiceUse of(Collection<CandidateWorker> candidates) {
		Resources total = Resources.NONE;
		Resources free = Resources.NONE;
		for (CandidateWorker candidate : candidates) {
			total = total.plus(candidate.worker().report().room());
			free = free.plus(candidate.free());
		}
		double share = Math.max(share(total.cpuMillis(), free.cpuMillis()),
				Math.max(share(total.memoryMb(), free.memoryMb()), share(total.accelerators(), free.accelerators())));
		return new ServiceUse(candidates.size(), share);
	}

	private static double share(long total, long free) {
		return (total > 0) ? (double) (total - free) / total : 0;
	}

	boolean mostlyIdle() {
		return this.share < MOSTLY_IDLE_SHARE;
	}

}
