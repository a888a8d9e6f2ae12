package io.verbenatrack.fleet.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;

/**
 * Holds, during one pass, the room that preemption frees for the steps for which it is
 * freed. Otherwise other steps start there first, and more runs are stopped.
 */
final class RoomClaims {

	private final PreemptionLedger ledger;

	private final FleetState state;

	private final Map<WorkerIncarnation, CandidateWorker> candidates = new HashMap<>();

	private final Map<TaskId, Map<CandidateWorker, Held>> held = new LinkedHashMap<>();

	RoomClaims(PreemptionLedger ledger, FleetState state, Collection<List<CandidateWorker>> candidates) {
		this.ledger = ledger;
		this.state = state;
		candidates.forEach((list) -> list
			.forEach((candidate) -> this.candidates.put(candidate.worker().incarnation(), candidate)));
	}

	/**
	 * Claims the room of the plans that are still of use, and removes the others.
	 * @param guaranteed whether to claim for steps within a guarantee, or for the others
	 */
	void hold(boolean guaranteed) {
		for (PreemptionLedger.Commitment commitment : this.ledger.commitments()) {
			if (commitment.guaranteed() == guaranteed && !this.held.containsKey(commitment.step())
					&& (!commitment.awaited(this.state) || !hold(commitment))) {
				this.ledger.remove(commitment.step());
			}
		}
	}

	/**
	 * Claims the room of a plan.
	 * @param commitment the plan
	 * @return whether there is enough room on its workers, with that of the runs that are
	 * to stop; otherwise nothing is claimed
	 */
	boolean hold(PreemptionLedger.Commitment commitment) {
		Resources room = this.state.step(commitment.step()).orElseThrow().spec().room();
		Set<TaskId> stops = new HashSet<>(commitment.running(this.state));
		Map<CandidateWorker, Held> claims = new LinkedHashMap<>();
		for (Map.Entry<WorkerIncarnation, Integer> place : commitment.places().entrySet()) {
			Optional<Held> claim = Optional.ofNullable(this.candidates.get(place.getKey()))
				.flatMap((candidate) -> claim(candidate, room, place.getValue(), stops));
			if (claim.isEmpty()) {
				return false;
			}
			claims.put(this.candidates.get(place.getKey()), claim.get());
		}
		claims.forEach((candidate, claim) -> candidate.claim(claim.free(), claim.stopping()));
		this.held.put(commitment.step(), claims);
		return true;
	}

	private static Optional<Held> claim(CandidateWorker candidate, Resources room, int tasks, Set<TaskId> stops) {
		Resources stopping = candidate.runningTasks()
			.stream()
			.filter((running) -> running.stopping() || stops.contains(running.task()))
			.map(CandidateWorker.RunningTask::room)
			.reduce(Resources.NONE, Resources::plus)
			.minus(candidate.pledged())
			.atLeast(Resources.NONE);
		Resources needed = room.times(tasks);
		Resources fromFree = needed.minus(stopping).atLeast(Resources.NONE);
		return fromFree.fitsIn(candidate.free()) ? Optional.of(new Held(fromFree, needed.minus(fromFree)))
				: Optional.empty();
	}

	/**
	 * Releases the room that is claimed for a step, so that the step can use it.
	 * @param step the first task of the step
	 */
	void release(TaskId step) {
		Map<CandidateWorker, Held> claims = this.held.remove(step);
		if (claims != null) {
			claims.forEach((candidate, claim) -> candidate.unclaim(claim.free(), claim.stopping()));
		}
	}

	/**
	 * A claim on a worker.
	 *
	 * @param free the part of its free resources
	 * @param stopping the part of the resources of runs that are to stop
	 */
	private record Held(Resources free, Resources stopping) {

	}

}
