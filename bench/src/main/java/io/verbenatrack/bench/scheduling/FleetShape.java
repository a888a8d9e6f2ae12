package io.verbenatrack.bench.scheduling;

import java.time.Duration;

/**
 * Deployment profile that the bench imitates.
 */
public enum FleetShape {

	/** The catering deployment, which favours completion time. */
	CATERING(0.8, Duration.ofMinutes(30), 30, 20, 20, 15, 10, 4, 1),

	/** The refresher deployment, which favours low fragmentation. */
	REFRESHER(0.2, Duration.ofMinutes(60), 20, 10, 20, 25, 15, 7, 3),

	/** The target size of the design. */
	TARGET(0.5, Duration.ofHours(4), 25, 15, 20, 20, 10, 6, 4);

	private static final int TARGET_ACCOUNTS = 42;

	private static final int TARGET_WORKERS = 990;

	private static final int SMALLEST_ACCOUNTS = 4;

	private final double completionTimeWeight;

	private final Duration medianRunTime;

	private final int[] gangPercent;

	FleetShape(double completionTimeWeight, Duration medianRunTime, int... gangPercent) {
		this.completionTimeWeight = completionTimeWeight;
		this.medianRunTime = medianRunTime;
		this.gangPercent = gangPercent;
	}

	double completionTimeWeight() {
		return this.completionTimeWeight;
	}

	Duration medianRunTime() {
		return this.medianRunTime;
	}

	int accounts(int workers) {
		int scaled = workers * TARGET_ACCOUNTS / TARGET_WORKERS;
		return (this == TARGET) ? Math.max(SMALLEST_ACCOUNTS, scaled) : SMALLEST_ACCOUNTS;
	}

	// Gang sizes are powers of two. The percentages of gangPercent start at one
	// accelerator.
	int gang(int percentile) {
		int size = 0;
		for (int sum = this.gangPercent[0]; sum <= percentile; sum += this.gangPercent[size]) {
			size++;
		}
		return 1 << size;
	}

}
