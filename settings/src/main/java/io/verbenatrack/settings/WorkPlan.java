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
 * A fleet of stand-in workers and targets, and the jobs and requests to submit to it. The
 * same work file always produces the same plan.
 *
 * @param seed the seed of all generated values
 * @param start the virtual start time of the plan
 * @param timeScale the number of virtual seconds in a real second
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
	 * Converts a virtual duration to real time.
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
	 * @param service the service that it provides
	 * @param zone its availability zone
	 * @param slots the maximum number of concurrent requests
	 * @param connections the maximum number of connections
	 */
	public record PlannedTarget(TargetId id, ServiceId service, ZoneId zone, int slots, int connections) {

	}

	/**
	 * A job to submit.
	 *
	 * @param arrival the virtual time after the start at which it is submitted
	 * @param job the declared job, with its declared run time in virtual time
	 * @param actualRunTime the actual run time, in virtual time
	 */
	public record PlannedJob(Duration arrival, JobSpec job, Duration actualRunTime) {

	}

	/**
	 * A request to send.
	 *
	 * @param arrival the virtual time after the start at which it is sent
	 * @param id the request
	 * @param service the requested service
	 * @param account the client account
	 * @param idempotent whether the request may be executed more than once
	 * @param timeout the timeout of the caller, in real time
	 * @param bodyBytes the size of its body, in bytes
	 * @param serviceTime how long the target takes to process it, in real time
	 */
	public record PlannedRequest(Duration arrival, RequestId id, ServiceId service, AccountId account,
			boolean idempotent, Duration timeout, int bodyBytes, Duration serviceTime) {

	}

}
