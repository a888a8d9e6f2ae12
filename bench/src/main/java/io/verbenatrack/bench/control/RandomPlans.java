package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates random fault plans. Each group holds one or two faults.
 */
final class RandomPlans {

	private static final long FIRST_NANOS = Duration.ofMillis(1200).toNanos();

	private static final long SPAN_NANOS = Duration.ofMillis(7500).toNanos();

	private static final long LONGEST_NANOS = Duration.ofMillis(3500).toNanos();

	private static final int MOST_MOMENTS = 6;

	private RandomPlans() {
	}

	static FaultPlan draw(long seed, int replicas) {
		SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
		List<FaultPlan.Moment> moments = new ArrayList<>();
		int count = 1 + random.nextInt(MOST_MOMENTS);
		for (int i = 0; i < count; i++) {
			List<FaultPlan.Fault> faults = new ArrayList<>();
			int together = 1 + random.nextInt(2);
			for (int j = 0; j < together; j++) {
				FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
				faults.add(new FaultPlan.Fault(kind, random.nextInt(replicas),
						100_000_000 + random.nextLong(LONGEST_NANOS)));
			}
			moments.add(new FaultPlan.Moment(FIRST_NANOS + random.nextLong(SPAN_NANOS), faults));
		}
		return new FaultPlan(moments);
	}

}
