package io.verbenatrack.bench.scheduling;

import java.util.function.Supplier;

import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.baseline.EasyBackfillScheduler;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;

/**
 * Scheduling policies that the bench compares.
 */
enum Policy {

	/** First come, first fit. */
	FIRST_FIT("first-fit", FirstFitScheduler::new),

	/** Best fit with EASY backfill. */
	EASY_BACKFILL("easy-backfill", EasyBackfillScheduler::new),

	/**
	 * Guaranteed regions with reclaiming of borrowed accelerators, reservations and
	 * backfill.
	 */
	GUARANTEE("guarantee", GuaranteeScheduler::new);

	private final String title;

	private final Supplier<Scheduler> factory;

	Policy(String title, Supplier<Scheduler> factory) {
		this.title = title;
		this.factory = factory;
	}

	String title() {
		return this.title;
	}

	Scheduler scheduler() {
		return this.factory.get();
	}

}
