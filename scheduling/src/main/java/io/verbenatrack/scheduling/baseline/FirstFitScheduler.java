package io.verbenatrack.scheduling.baseline;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.lifecycle.ReplicatedScheduler;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RackRecord;

/**
 * Scheduling policy that places jobs in the order of submission on the first adjacent
 * accelerators that fit. Jobs that do not fit are skipped, and nothing is reclaimed.
 */
public final class FirstFitScheduler extends ReplicatedScheduler {

	/**
	 * Creates a scheduler with no jobs and no workers.
	 */
	public FirstFitScheduler() {
		this(DEFAULT_REMEMBERED_JOBS);
	}

	/**
	 * Creates a scheduler with no jobs and no workers.
	 * @param rememberedJobs the number of ended jobs to retain; the oldest are dropped
	 * first
	 */
	public FirstFitScheduler(int rememberedJobs) {
		super(rememberedJobs);
	}

	@Override
	protected void applyPolicy(SchedulingEvent event, Instant now, DecisionCollector collector) {
		placeWaiting(now, collector);
	}

	private void placeWaiting(Instant now, DecisionCollector collector) {
		Set<GangShape> unplaceable = new HashSet<>();
		for (JobRecord job : List.copyOf(state().jobs().waiting())) {
			GangShape shape = job.spec().shape();
			if (unplaceable.contains(shape)) {
				continue;
			}
			GangPlacement placement = firstFit(shape);
			if (placement.slots().isEmpty()) {
				unplaceable.add(shape);
				continue;
			}
			collector.add(new SchedulingDecision.PlaceGang(job.id(), state().nextToken(), placement, now));
		}
	}

	private GangPlacement firstFit(GangShape shape) {
		for (RackRecord rack : state().fleet().racks()) {
			GangPlacement placement = GangFit.firstFit(rack, shape);
			if (!placement.slots().isEmpty()) {
				return placement;
			}
		}
		return new GangPlacement(List.of());
	}

}
