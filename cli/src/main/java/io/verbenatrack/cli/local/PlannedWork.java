package io.verbenatrack.cli.local;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.verbenatrack.settings.WorkPlan;
import io.verbenatrack.standin.WorkTable;

/**
 * Tells stand-ins how long the work of a plan truly takes, in real time.
 */
final class PlannedWork implements WorkTable {

	private final Map<String, Duration> jobs = new HashMap<>();

	private final Map<String, Duration> requests = new HashMap<>();

	PlannedWork(WorkPlan plan) {
		plan.jobs().forEach((job) -> this.jobs.put(job.job().id().value(), plan.real(job.actualRunTime())));
		plan.requests().forEach((request) -> this.requests.put(request.id().value(), request.work()));
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
