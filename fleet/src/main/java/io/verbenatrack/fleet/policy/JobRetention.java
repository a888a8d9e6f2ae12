package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.JobId;

/**
 * Removes jobs that ended long ago. A new leader counts the retention of each ended job
 * from the start of its term.
 */
final class JobRetention {

	private static final long SWEEP_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	/** Limits the size of a command. */
	private static final int MAX_FORGOTTEN_JOBS = 500;

	private final long retentionNanos;

	private final Map<JobId, Long> endedNanos = new LinkedHashMap<>();

	private long nextSweepNanos;

	JobRetention(Duration retention, long startNanos) {
		this.retentionNanos = retention.toNanos();
		this.nextSweepNanos = startNanos;
	}

	/**
	 * Returns the jobs whose retention is over.
	 * @param state the state of the fleet
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the command that removes them, or empty if there are none
	 */
	Optional<FleetCommand> sweep(FleetState state, long nowNanos) {
		if (nowNanos - this.nextSweepNanos < 0) {
			return Optional.empty();
		}
		this.nextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
		this.endedNanos.keySet().removeIf((job) -> state.job(job).isEmpty());
		for (JobState job : state.jobs()) {
			if (job.phase().ended()) {
				this.endedNanos.putIfAbsent(job.job(), nowNanos);
			}
		}
		Set<JobId> running = jobsWithRuns(state);
		List<JobId> expired = new ArrayList<>();
		for (Map.Entry<JobId, Long> ended : this.endedNanos.entrySet()) {
			if (nowNanos - ended.getValue() < this.retentionNanos || expired.size() == MAX_FORGOTTEN_JOBS) {
				break;
			}
			if (!running.contains(ended.getKey())) {
				expired.add(ended.getKey());
			}
		}
		return expired.isEmpty() ? Optional.empty() : Optional.of(new FleetCommand.ForgetJobs(expired));
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
		return this.endedNanos.values()
			.stream()
			.findFirst()
			.map((ended) -> Duration.ofNanos(Math.max(0, ended + this.retentionNanos - nowNanos)));
	}

}
