package io.verbenatrack.server.leader;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingView;

/**
 * Translates committed decisions into actions for workers.
 */
final class GangActions {

	private final Map<JobId, Gang> gangs = new ConcurrentHashMap<>();

	private final Map<JobId, JobSpec> jobs = new ConcurrentHashMap<>();

	private final Map<JobId, Duration> keptProgress = new ConcurrentHashMap<>();

	/**
	 * Replaces the state by the one that a new leader starts from.
	 * @param view the committed state
	 * @return the actions that the previous leader may not have sent
	 */
	List<MemberAction> restore(SchedulingView view) {
		this.gangs.clear();
		this.jobs.clear();
		this.keptProgress.clear();
		List<MemberAction> actions = new ArrayList<>();
		for (SchedulingView.JobView job : view.jobs()) {
			if (job.outcome().isEmpty()) {
				restoreJob(job, actions);
			}
		}
		return actions;
	}

	private void restoreJob(SchedulingView.JobView job, List<MemberAction> actions) {
		this.jobs.put(job.job().id(), job.job());
		if (job.token().isEmpty() || job.placement().isEmpty()) {
			return;
		}
		Gang gang = new Gang(job.token().get(), job.placement().get());
		this.gangs.put(job.job().id(), gang);
		pendingAction(job.phase()).ifPresent((kind) -> add(actions, job.job().id(), gang, kind, Duration.ZERO));
	}

	private static Optional<MemberAction.Kind> pendingAction(String phase) {
		return switch (phase) {
			case "preparing", "placed" -> Optional.of(MemberAction.Kind.PREPARE);
			case "starting", "running" -> Optional.of(MemberAction.Kind.START);
			case "checkpointing" -> Optional.of(MemberAction.Kind.CHECKPOINT);
			case "stopping" -> Optional.of(MemberAction.Kind.STOP);
			default -> Optional.empty();
		};
	}

	/**
	 * Returns the actions that a committed decision requires.
	 * @param decision the decision
	 * @return the actions, empty for most decisions
	 */
	List<MemberAction> actionsFor(SchedulingDecision decision) {
		List<MemberAction> actions = new ArrayList<>();
		switch (decision) {
			case SchedulingDecision.AcceptJob accept -> this.jobs.put(accept.job().id(), accept.job());
			case SchedulingDecision.PlaceGang place -> {
				Gang gang = new Gang(place.token(), place.placement());
				this.gangs.put(place.job(), gang);
				add(actions, place.job(), gang, MemberAction.Kind.PREPARE, Duration.ZERO);
			}
			case SchedulingDecision.StartGang start ->
				addCurrent(actions, start.job(), start.token(), MemberAction.Kind.START, Duration.ZERO);
			case SchedulingDecision.CheckpointGang checkpoint -> addCurrent(actions, checkpoint.job(),
					checkpoint.token(), MemberAction.Kind.CHECKPOINT, checkpoint.grace());
			case SchedulingDecision.StopGang stop ->
				addCurrent(actions, stop.job(), stop.token(), MemberAction.Kind.STOP, Duration.ZERO);
			case SchedulingDecision.RequeueJob requeue -> {
				this.gangs.remove(requeue.job());
				this.keptProgress.put(requeue.job(), requeue.keptProgress());
			}
			case SchedulingDecision.EndJob end -> {
				this.gangs.remove(end.job());
				this.jobs.remove(end.job());
				this.keptProgress.remove(end.job());
			}
			default -> {
				// All other decisions only change the state.
			}
		}
		return actions;
	}

	/**
	 * Returns whether an action is still up to date.
	 * @param action an action to be retried
	 * @return true if its gang still holds the accelerators under the same fencing token
	 */
	boolean isCurrent(MemberAction action) {
		Gang gang = this.gangs.get(action.job());
		return gang != null && gang.token.equals(action.token());
	}

	private void addCurrent(List<MemberAction> actions, JobId job, FencingToken token, MemberAction.Kind kind,
			Duration grace) {
		Gang gang = this.gangs.get(job);
		if (gang != null && gang.token.equals(token)) {
			add(actions, job, gang, kind, grace);
		}
	}

	private void add(List<MemberAction> actions, JobId job, Gang gang, MemberAction.Kind kind, Duration grace) {
		JobSpec spec = this.jobs.get(job);
		Duration remaining = spec.declaredRunTime().minus(this.keptProgress.getOrDefault(job, Duration.ZERO));
		Duration runTime = remaining.isNegative() ? Duration.ZERO : remaining;
		for (Slot slot : gang.placement.slots()) {
			actions.add(new MemberAction(job, gang.token, kind, slot, runTime, grace));
		}
	}

	private record Gang(FencingToken token, GangPlacement placement) {

	}

}
