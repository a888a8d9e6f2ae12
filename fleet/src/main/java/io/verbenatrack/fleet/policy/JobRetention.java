package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.JobId;

/**
 * Removes jobs that ended long ago.
 */
final class JobRetention {

	private final Retention<JobId> retention;

	JobRetention(Duration retention, long startNanos) {
		this.retention = new Retention<>(retention, startNanos);
	}

	/**
	 * Returns the jobs whose retention is over.
	 * @param state the state of the fleet
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the command that removes them, or empty if there are none
	 */
	Optional<FleetCommand> sweep(FleetState state, long nowNanos) {
		if (!this.retention.beginSweep(nowNanos)) {
			return Optional.empty();
		}
		List<JobId> expired = this.retention.expired(endedJobs(state), jobsWithRuns(state), nowNanos);
		return expired.isEmpty() ? Optional.empty() : Optional.of(new FleetCommand.ForgetJobs(expired));
	}

	private static Set<JobId> endedJobs(FleetState state) {
		Set<JobId> ended = new LinkedHashSet<>();
		for (JobState job : state.jobs()) {
			if (job.phase().ended()) {
				ended.add(job.job());
			}
		}
		return ended;
	}

	private static Set<JobId> jobsWithRuns(FleetState state) {
		Set<JobId> jobs = new HashSet<>();
		state.incarnationsInUse()
			.forEach((incarnation) -> state.runsOn(incarnation).keySet().forEach((task) -> jobs.add(task.job())));
		return jobs;
	}

	/**
	 * Returns when the next job is removed.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time until then, or empty if no job has ended
	 */
	Optional<Duration> untilNext(long nowNanos) {
		return this.retention.untilNext(nowNanos);
	}

}
