package io.verbenatrack.cli.local;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.settings.WorkPlan;
import io.verbenatrack.standin.WorkDurations;

/**
 * The actual durations of the work in a plan, in real time.
 */
final class PlannedWorkDurations implements WorkDurations {

	private final Map<String, Duration> jobs = new HashMap<>();

	private final Map<String, Duration> requests = new HashMap<>();

	PlannedWorkDurations(WorkPlan plan) {
		plan.jobs().forEach((job) -> this.jobs.put(job.job().id().value(), plan.toRealTime(job.actualRunTime())));
		plan.requests().forEach((request) -> this.requests.put(request.id().value(), request.serviceTime()));
	}

	@Override
	public Duration runTime(String job, Duration declared) {
		return this.jobs.getOrDefault(job, declared);
	}

	@Override
	public Duration serviceTime(String request) {
		return this.requests.getOrDefault(request, Duration.ZERO);
	}

}
