package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;

/**
 * The rules that keep a waiting step from a worker, apart from its free resources. They
 * apply to the placement of the step, to reservations for it and to preemption for it
 * alike: otherwise workers are kept free for a step that must not use them.
 */
final class Eligibility {

	/**
	 * A task avoids the workers on which its last run failed or stalled for this long.
	 * Afterwards it prefers other workers, but uses these if no other one fits. Other
	 * workers report free resources in this time, and a task that needs an avoided worker
	 * does not wait noticeably.
	 */
	private static final long MAX_AVOIDANCE_NANOS = Duration.ofSeconds(2).toNanos();

	/** Longer than the usual run times, for which waiting is the better choice. */
	private static final long MAX_DATA_RACK_WAIT_MILLIS = 10_000;

	private final StalledRunMover runMover;

	private final WaitTimers timers;

	/** The racks on which nothing starts, as their zone is evacuated. */
	private final Set<String> closedRacks;

	private final long nowNanos;

	private final long nowMillis;

	Eligibility(StalledRunMover runMover, WaitTimers timers, Set<String> closedRacks, long nowNanos, long nowMillis) {
		this.runMover = runMover;
		this.timers = timers;
		this.closedRacks = closedRacks;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
	}

	/**
	 * Records which gangs wait, and which other tasks that avoid workers. Must be called
	 * for each waiting step in each pass.
	 * @param step the step
	 */
	void recordWaiting(PendingStep step) {
		if (step.spec().gang()) {
			this.timers.recordWaiting(unit(step, 0), this.nowNanos);
			return;
		}
		for (int index : step.waiting()) {
			if (avoidsAny(step, index)) {
				this.timers.recordWaiting(unit(step, index), this.nowNanos);
			}
		}
	}

	/**
	 * Returns whether a task avoids any worker.
	 * @param step the step
	 * @param index the index of the task
	 * @return whether its last run failed or stalled
	 */
	boolean avoidsAny(PendingStep step, int index) {
		return step.failedOn(index).isPresent() || this.runMover.avoidsAny(step.task(index), step.spec().gang());
	}

	// A gang waits and starts as a whole.
	private static TaskId unit(PendingStep step, int index) {
		return step.task(step.spec().gang() ? 0 : index);
	}

	/**
	 * Returns the workers on which a gang may start.
	 * @param step the gang
	 * @param candidates the workers of its service
	 * @return the workers for which no rule but their resources and reservations matters
	 */
	List<CandidateWorker> forGang(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean avoids = anyMemberAvoids(step) && !avoidanceEnded(step, 0);
		return candidates.stream()
			.filter((candidate) -> candidate.matches(step.spec()))
			.filter((candidate) -> !avoids || !avoidsForAnyMember(step, candidate))
			.toList();
	}

	/**
	 * Returns the workers that no member of a gang avoids.
	 * @param step the gang
	 * @param candidates the workers
	 * @return the preferred ones among them
	 */
	List<CandidateWorker> preferred(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean avoids = anyMemberAvoids(step);
		return candidates.stream().filter((candidate) -> !avoids || !avoidsForAnyMember(step, candidate)).toList();
	}

	// Few gangs avoid a worker, and asking for each worker takes most of a pass.
	private boolean anyMemberAvoids(PendingStep step) {
		return step.waiting().stream().anyMatch((index) -> avoidsAny(step, index));
	}

	private boolean avoidsForAnyMember(PendingStep step, CandidateWorker candidate) {
		return step.waiting().stream().anyMatch((index) -> avoids(step, index, candidate));
	}

	/**
	 * Returns whether a task that is not in a gang may start on a worker.
	 * @param step the step
	 * @param index the index of the task
	 * @param candidate the worker
	 * @return whether no rule but the resources and reservations of the worker prevents
	 * it
	 */
	boolean mayStart(PendingStep step, int index, CandidateWorker candidate) {
		return candidate.matches(step.spec()) && placesLeft(step, candidate) > 0 && onAcceptedRack(step, candidate)
				&& (!avoids(step, index, candidate) || avoidanceEnded(step, index));
	}

	private boolean avoidanceEnded(PendingStep step, int index) {
		return this.timers.waitedNanos(unit(step, index), this.nowNanos) >= MAX_AVOIDANCE_NANOS;
	}

	/**
	 * Returns the workers on which any waiting task of a step may start.
	 * @param step the step
	 * @param candidates the workers of its service
	 * @return the workers for which no rule but their resources and reservations matters
	 */
	List<CandidateWorker> forStep(PendingStep step, Collection<CandidateWorker> candidates) {
		if (step.spec().gang()) {
			return forGang(step, candidates);
		}
		return candidates.stream()
			.filter((candidate) -> step.waiting().stream().anyMatch((index) -> mayStart(step, index, candidate)))
			.toList();
	}

	/**
	 * Returns whether a task prefers other workers, since its last run failed on this one
	 * or a run stalled there.
	 * @param step the step
	 * @param index the index of the task
	 * @param candidate the worker
	 * @return whether another worker is the better choice
	 */
	boolean avoids(PendingStep step, int index, CandidateWorker candidate) {
		WorkerIncarnation incarnation = candidate.worker().incarnation();
		return step.failedOn(index).filter(incarnation::equals).isPresent()
				|| this.runMover.avoids(step.task(index), step.spec().gang(), incarnation, this.nowNanos);
	}

	private boolean onAcceptedRack(PendingStep step, CandidateWorker candidate) {
		long maxWaitMillis = Math.min(step.medianMillis(), MAX_DATA_RACK_WAIT_MILLIS);
		return this.nowMillis - step.readyMillis() >= maxWaitMillis || onDataRack(step.spec(), candidate)
				|| step.spec().dataRack().filter(this.closedRacks::contains).isPresent();
	}

	/**
	 * Returns whether a worker is on the rack of a step's data.
	 * @param spec the step
	 * @param candidate the worker
	 * @return whether it is, or the step names no rack
	 */
	static boolean onDataRack(StepSpec spec, CandidateWorker candidate) {
		return spec.dataRack().isEmpty() || spec.dataRack().get().equals(candidate.rack());
	}

	/**
	 * Returns how many more tasks of a step its limit for one worker allows.
	 * @param step the step
	 * @param candidate the worker
	 * @return the number of tasks, by the runs in the replicated state
	 */
	static int placesLeft(PendingStep step, CandidateWorker candidate) {
		int limit = step.spec().mostOnOneWorker();
		if (limit == 0) {
			return Integer.MAX_VALUE;
		}
		WorkerIncarnation incarnation = candidate.worker().incarnation();
		long running = step.step()
			.tasks()
			.stream()
			.filter((task) -> task.runningOn().filter(incarnation::equals).isPresent())
			.count();
		return (int) Math.max(0, limit - running);
	}

}
