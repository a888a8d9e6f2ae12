package io.verbenatrack.fleet.policy;

import java.time.Duration;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;

/**
 * Limits what preemption costs the steps of lower priority. A step within the guarantee
 * of its client account is subject only to the order by cost.
 */
final class PreemptionLimits {

	/** Preemption may discard at most this share of the work of the step that starts. */
	private static final double MAX_LOSS_SHARE = 0.25;

	/**
	 * A run that has done more than this share of its work is not preempted: its job,
	 * whose objective is a small multiple of its run time, would hardly meet it.
	 */
	private static final double MAX_DONE_SHARE = 0.75;

	/**
	 * Each earlier preemption of a step makes it this much dearer, so that preemptions
	 * spread over the steps.
	 */
	private static final double COST_GROWTH = 1.3;

	/** With more preemptions the cost could overflow in sums. */
	private static final int MAX_GROWTH_STEPS = 64;

	/**
	 * The time from the decision until the stopped runs have ended in the reports, so
	 * that the step starts that much later.
	 */
	private static final long STOP_MILLIS = 400;

	private final FleetState state;

	private final PreemptionLedger ledger;

	private final long nowNanos;

	PreemptionLimits(FleetState state, PreemptionLedger ledger, long nowNanos) {
		this.state = state;
		this.ledger = ledger;
		this.nowNanos = nowNanos;
	}

	/**
	 * Returns whether a step without a guarantee can end in time if preemption makes room
	 * for it.
	 * @param step the step
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return whether it is urgent and within its objective
	 */
	static boolean endsInTime(PendingStep step, long nowMillis) {
		return step.queue().priority() == 0
				&& CompletionOutlook.of(step, nowMillis + STOP_MILLIS) == CompletionOutlook.IN_TIME;
	}

	/**
	 * Returns the cost of preempting a run or a gang, by which plans are compared.
	 * @param running the run, or a member of the gang
	 * @return the lost work, in milliseconds weighted by resources, which grows with the
	 * earlier preemptions of the step
	 */
	double cost(CandidateWorker.RunningTask running) {
		int earlier = this.ledger.preemptions(PreemptionLedger.step(running.task()));
		return running.lostWorkMillis() * Math.pow(COST_GROWTH, Math.min(earlier, MAX_GROWTH_STEPS));
	}

	/**
	 * Returns whether a run or gang may be preempted for a step.
	 * @param victim the run or gang
	 * @param guaranteed whether the step is within a guarantee
	 * @return whether it already stops, or no limit protects it
	 */
	boolean allowsVictim(PreemptionVictim victim, boolean guaranteed) {
		if (guaranteed || victim.stopping()) {
			return true;
		}
		TaskId step = PreemptionLedger.step(victim.unit());
		long objectiveNanos = this.state.job(step.job()).map(this::objectiveNanos).orElse(0L);
		return victim.doneShare() <= MAX_DONE_SHARE
				&& this.ledger.sincePreemptionNanos(step, this.nowNanos) >= objectiveNanos;
	}

	private long objectiveNanos(JobState job) {
		return this.state.queueOf(job).map((queue) -> {
			long longestMillis = job.plan().steps().stream().mapToLong((step) -> step.estimatedMillis()).sum();
			return Duration.ofMillis((long) (queue.stretch() * longestMillis) + queue.latencyMillis()).toNanos();
		}).orElse(0L);
	}

	/**
	 * Returns whether a plan may be carried out.
	 * @param plan the plan
	 * @param step the step that starts
	 * @param guaranteed whether the step is within a guarantee
	 * @return whether its loss is within the limits
	 */
	boolean allowsPlan(PreemptionPlanner.Plan plan, PendingStep step, boolean guaranteed) {
		return guaranteed || (plan.lostWorkMillis() <= step.work() * MAX_LOSS_SHARE
				&& (plan.lostWorkMillis() == 0 || this.ledger.lossBudget().left()));
	}

}
