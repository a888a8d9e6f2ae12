package io.verbenatrack.fleet.policy;

/**
 * What a job that starts now can still reach.
 */
enum CompletionOutlook {

	/** It can end within its objective. */
	IN_TIME,

	/** It can end late, when it is still worth something to its caller. */
	LATE,

	/** Its caller has no use for it any more; it runs on what others leave. */
	MISSED;

	/** Up to this many times its objective a late end is worth something. */
	private static final int LATE_FACTOR = 3;

	/** Estimates are off by this much now and then. */
	private static final double ESTIMATE_FACTOR = 0.8;

	static CompletionOutlook of(PendingStep step, long nowMillis) {
		long end = nowMillis - step.readyMillis() + (long) (ESTIMATE_FACTOR * step.criticalPathMillis());
		long objective = step.objectiveMillis();
		if (end <= objective) {
			return IN_TIME;
		}
		return (end <= LATE_FACTOR * objective) ? LATE : MISSED;
	}

}
