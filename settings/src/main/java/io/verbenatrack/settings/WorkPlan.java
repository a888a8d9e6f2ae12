package io.verbenatrack.settings;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

/**
 * A fleet of stand-ins and the work submitted to it; the same file gives the same plan.
 *
 * @param seed where all drawn values come from
 * @param start the virtual time at which the plan begins
 * @param timeScale virtual seconds in a real second
 * @param workers the stand-in workers
 * @param targets the stand-in targets
 * @param jobs the jobs, in order of arrival
 * @param requests the requests, in order of arrival
 */
public record WorkPlan(long seed, Instant start, double timeScale, List<WorkerSpec> workers,
		List<PlannedTarget> targets, List<PlannedJob> jobs, List<PlannedRequest> requests) {

	private static final double NANOS_PER_MILLI = 1_000_000;

	public WorkPlan {
		workers = List.copyOf(workers);
		targets = List.copyOf(targets);
		jobs = List.copyOf(jobs);
		requests = List.copyOf(requests);
	}

	/**
	 * Converts a virtual duration to the real time that it takes.
	 * @param virtualTime the virtual duration
	 * @return the real duration
	 */
	public Duration toRealTime(Duration virtualTime) {
		return Duration.ofNanos(Math.round(virtualTime.toMillis() * NANOS_PER_MILLI / this.timeScale));
	}

	/**
	 * A stand-in target.
	 *
	 * @param id the target
	 * @param service the service that it runs
	 * @param zone its availability zone
	 * @param slots how many requests it runs at once
	 * @param connections how many connections it accepts
	 */
	public record PlannedTarget(TargetId id, ServiceId service, ZoneId zone, int slots, int connections) {

	}

	/**
	 * A job to submit.
	 *
	 * @param arrival the virtual time after the start at which it is submitted
	 * @param job what is declared, its run time in virtual time
	 * @param actualRunTime how long it truly runs, in virtual time
	 */
	public record PlannedJob(Duration arrival, JobSpec job, Duration actualRunTime) {

	}

	/**
	 * A request to send.
	 *
	 * @param arrival the virtual time after the start at which it is sent
	 * @param id the request
	 * @param service the service asked
	 * @param account the client account
	 * @param idempotent whether running it twice does no harm
	 * @param timeout how long the caller waits, in real time
	 * @param bodyBytes the size of its body
	 * @param serviceTime how long the target works on it, in real time
	 */
	public record PlannedRequest(Duration arrival, RequestId id, ServiceId service, AccountId account,
			boolean idempotent, Duration timeout, int bodyBytes, Duration serviceTime) {

	}

}
