package io.verbenatrack.fleet.policy;

/**
 * What a leader remembers from one scheduling pass to the next.
 *
 * @param runMover moves stalled runs, and knows the workers that their tasks avoid
 * @param waitTimers measures how long tasks wait
 * @param idleWaitTimers measures how long gangs wait while their service is mostly idle
 * @param reservationHolds limits how long gangs reserve workers
 * @param preemptions the preemptions that are under way, and those of each step
 * @param waitLog decides which waiting jobs are logged
 */
record PlacementHistory(StalledRunMover runMover, WaitTimers waitTimers, WaitTimers idleWaitTimers,
		ReservationHolds reservationHolds, PreemptionLedger preemptions, WaitLog waitLog) {

	PlacementHistory(StalledRunMover runMover) {
		this(runMover, new WaitTimers(), new WaitTimers(), new ReservationHolds(), new PreemptionLedger(),
				new WaitLog());
	}

}
