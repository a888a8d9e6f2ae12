package io.verbenatrack.fleet.policy;

/**
 * The expected completion of a job that starts now, relative to its objective.
 */
enum CompletionOutlook {

	/** The job can end within its objective. */
	IN_TIME,

	/** The job can end late, but while its result still has value for the caller. */
	LATE,

	/**
	 * The result no longer has value for the caller, so the job gets only resources that
	 * no other job uses.
	 */
	MISSED;

	/** A late result has value up to this multiple of the objective. */
	private static final int LATE_FACTOR = 3;

	/**
	 * Share of the callers' estimates to assume, as they are sometimes off by this much.
	 * The median of observed runs needs no such correction.
	 */
	private static final double ESTIMATE_FACTOR = 0.8;

	static CompletionOutlook of(PendingStep step, long nowMillis) {
		return of(step, nowMillis, 1);
	}

	/**
	 * Returns the outlook of a step that starts on workers of a given speed.
	 * @param step the step
	 * @param startMillis when it starts, in milliseconds since the epoch
	 * @param speed the speed of the workers relative to the nominal speed
	 * @return the outlook if the later steps of its job run at nominal speed
	 */
	static CompletionOutlook of(PendingStep step, long startMillis, double speed) {
		double factor = step.forecast().learned() ? 1 : ESTIMATE_FACTOR;
		double pathMillis = step.criticalPathMillis() + step.medianMillis() * (1 / speed - 1);
		long end = startMillis - step.readyMillis() + (long) (factor * pathMillis);
		long objective = step.objectiveMillis();
		if (end <= objective) {
			return IN_TIME;
		}
		return (end <= LATE_FACTOR * objective) ? LATE : MISSED;
	}

}
