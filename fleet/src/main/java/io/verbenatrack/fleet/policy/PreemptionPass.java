package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.StepState;

/**
 * Plans preemptions during one scheduling pass, keeps the plans of earlier passes, and
 * holds the room that they free.
 */
final class PreemptionPass {

	/** A core counts as an eighth of an accelerator. */
	private static final double CORE_MILLIS_PER_ACCELERATOR = 8000;

	private final FleetState state;

	private final PreemptionLedger ledger;

	private final PreemptionLimits limits;

	private final RoomClaims claims;

	private final Map<TaskId, PreemptionVictim> victims = new HashMap<>();

	private final Set<TaskId> stops = new HashSet<>();

	private final List<FleetEvent.RunPreempted> events = new ArrayList<>();

	private final long nowNanos;

	private boolean othersHeld;

	/**
	 * Begins a pass.
	 * @param state the replicated state
	 * @param ledger the preemptions of earlier passes
	 * @param candidates the workers by service
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	PreemptionPass(FleetState state, PreemptionLedger ledger, Collection<List<CandidateWorker>> candidates,
			long nowNanos) {
		this.state = state;
		this.ledger = ledger;
		this.limits = new PreemptionLimits(state, ledger, nowNanos);
		this.claims = new RoomClaims(ledger, state, candidates);
		this.nowNanos = nowNanos;
		ledger.removeStale(state);
		double weight = 0;
		for (List<CandidateWorker> workers : candidates) {
			for (CandidateWorker worker : workers) {
				worker.runningTasks().forEach((running) -> addVictim(worker, running));
				Resources room = worker.worker().report().room();
				weight += room.accelerators() + room.cpuMillis() / CORE_MILLIS_PER_ACCELERATOR;
			}
		}
		ledger.lossBudget().fill(weight, nowNanos);
	}

	private void addVictim(CandidateWorker worker, CandidateWorker.RunningTask running) {
		this.victims.computeIfAbsent(running.unit(), (unit) -> new PreemptionVictim(running, this.limits.cost(running)))
			.add(worker, running);
	}

	/**
	 * Holds the room of earlier plans for steps within a guarantee.
	 */
	void holdGuaranteed() {
		this.claims.hold(true);
	}

	/**
	 * Holds the room of the other earlier plans, unless this has been done. Must be
	 * called after all steps within a guarantee had their turn, as these may take it.
	 */
	void holdOthers() {
		if (!this.othersHeld) {
			this.othersHeld = true;
			this.claims.hold(false);
		}
	}

	/**
	 * Releases the room that is held for a step, so that the step can start there.
	 * @param step the step
	 */
	void release(PendingStep step) {
		this.claims.release(PreemptionLedger.step(step.task(0)));
	}

	/**
	 * Ends the plan for a step that has started.
	 * @param step the step
	 */
	void recordStart(PendingStep step) {
		this.ledger.remove(PreemptionLedger.step(step.task(0)));
	}

	/**
	 * Returns whether runs are being stopped for a step.
	 * @param step the step
	 * @return whether there is a plan for it
	 */
	boolean stopsUnderWay(PendingStep step) {
		return this.ledger.commitment(PreemptionLedger.step(step.task(0))).isPresent();
	}

	/**
	 * Preempts runs so that a step can start, unless the runs of an earlier plan that is
	 * sufficient are still stopping.
	 * @param step the step
	 * @param guaranteed whether the step is within the guarantee of its client account
	 * @param eligible the workers on which the step may start
	 * @return whether there is a plan
	 */
	boolean preempt(PendingStep step, boolean guaranteed, Collection<CandidateWorker> eligible) {
		if (keep(step, guaranteed)) {
			return true;
		}
		cancel(step);
		Optional<PreemptionPlanner.Plan> plan = new PreemptionPlanner(eligible, this.victims,
				(victim) -> this.limits.allowsVictim(victim, guaranteed))
			.plan(step)
			.filter((found) -> this.limits.allowsPlan(found, step, guaranteed));
		plan.ifPresent((found) -> commit(step, guaranteed, found));
		return plan.isPresent();
	}

	/**
	 * Withdraws the plan for a step that may no longer preempt others.
	 * @param step the step
	 */
	void cancel(PendingStep step) {
		this.ledger.remove(PreemptionLedger.step(step.task(0)));
	}

	private boolean keep(PendingStep step, boolean guaranteed) {
		Optional<PreemptionLedger.Commitment> kept = this.ledger.commitment(PreemptionLedger.step(step.task(0)))
			.filter((commitment) -> commitment.awaited(this.state))
			.map((commitment) -> commitment.withGuaranteed(guaranteed));
		List<TaskId> running = kept.map((commitment) -> commitment.running(this.state)).orElse(List.of());
		if (running.isEmpty() || !this.claims.hold(kept.get())) {
			return false;
		}
		this.ledger.commit(kept.get());
		this.stops.addAll(running);
		return true;
	}

	private void commit(PendingStep step, boolean guaranteed, PreemptionPlanner.Plan plan) {
		TaskId starting = PreemptionLedger.step(step.task(0));
		Map<TaskId, Integer> runs = new LinkedHashMap<>();
		Set<TaskId> preemptedSteps = new HashSet<>();
		for (PreemptionVictim victim : plan.victims()) {
			Map<TaskId, Integer> stopped = runs(victim.unit());
			runs.putAll(stopped);
			if (!victim.stopping()) {
				TaskId preempted = PreemptionLedger.step(victim.unit());
				long lostMillis = (long) (victim.lostWorkMillis() / Math.max(1, stopped.size()));
				int earlier = this.ledger.preemptions(preempted);
				stopped.forEach((task, run) -> this.events
					.add(new FleetEvent.RunPreempted(task, run, starting, guaranteed, lostMillis, earlier)));
				preemptedSteps.add(preempted);
			}
		}
		preemptedSteps.forEach((preempted) -> this.ledger.recordPreemption(preempted, this.nowNanos));
		if (!guaranteed) {
			this.ledger.lossBudget().spend(plan.lostWorkMillis());
		}
		plan.victims().forEach(PreemptionVictim::stop);
		Map<WorkerIncarnation, Integer> places = new LinkedHashMap<>();
		plan.places().forEach((worker, tasks) -> places.put(worker.worker().incarnation(), tasks));
		PreemptionLedger.Commitment made = new PreemptionLedger.Commitment(starting, guaranteed, places, runs);
		this.stops.addAll(runs.keySet());
		this.claims.hold(made);
		this.ledger.commit(made);
	}

	// The members of a gang stop as a whole, also those on workers that are no
	// candidates.
	private Map<TaskId, Integer> runs(TaskId unit) {
		Map<TaskId, Integer> runs = new LinkedHashMap<>();
		this.state.step(unit).ifPresent((step) -> tasks(unit, step).forEach((task) -> {
			if (step.tasks().get(task.index()).runningOn().isPresent()) {
				runs.put(task, step.tasks().get(task.index()).run());
			}
		}));
		return runs;
	}

	private static List<TaskId> tasks(TaskId unit, StepState step) {
		return step.spec().gang() ? IntStream.range(0, step.tasks().size()).mapToObj(unit::member).toList()
				: List.of(unit);
	}

	/**
	 * Returns the tasks whose runs are to stop.
	 * @return the tasks, with all members of their gangs
	 */
	Set<TaskId> stops() {
		return this.stops;
	}

	/**
	 * Returns an event for each run that is preempted by a plan of this pass.
	 * @return the events
	 */
	List<FleetEvent.RunPreempted> events() {
		return this.events;
	}

}
