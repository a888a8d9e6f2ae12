package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates random fault plans. Each group holds one or two faults.
 */
final class RandomFaultPlans {

	private static final long EARLIEST_START_NANOS = Duration.ofMillis(1200).toNanos();

	private static final long START_RANGE_NANOS = Duration.ofMillis(7500).toNanos();

	private static final long MAXIMUM_DURATION_RANGE_NANOS = Duration.ofMillis(3500).toNanos();

	private static final int MAXIMUM_GROUPS = 6;

	private RandomFaultPlans() {
	}

	static FaultPlan generate(long seed, int replicas) {
		SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
		List<FaultPlan.FaultGroup> groups = new ArrayList<>();
		int groupCount = 1 + random.nextInt(MAXIMUM_GROUPS);
		for (int i = 0; i < groupCount; i++) {
			List<FaultPlan.Fault> faults = new ArrayList<>();
			int faultCount = 1 + random.nextInt(2);
			for (int j = 0; j < faultCount; j++) {
				FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
				faults.add(new FaultPlan.Fault(kind, random.nextInt(replicas),
						100_000_000 + random.nextLong(MAXIMUM_DURATION_RANGE_NANOS)));
			}
			groups.add(new FaultPlan.FaultGroup(EARLIEST_START_NANOS + random.nextLong(START_RANGE_NANOS), faults));
		}
		return new FaultPlan(groups);
	}

}
