package io.verbenatrack.scheduling.baseline;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.scheduling.lifecycle.GangLifecycle;
import io.verbenatrack.scheduling.state.DecisionLog;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.Views;

/**
 * Gives each job, first come first, the first adjacent accelerators that fit; jobs that
 * do not fit are passed over, and nothing is reclaimed.
 */
public final class FirstFitScheduler implements Scheduler {

	private final SchedulingState state = new SchedulingState();

	private final GangLifecycle lifecycle = new GangLifecycle(this.state);

	@Override
	public List<SchedulingDecision> decide(SchedulingEvent event, Instant now) {
		DecisionLog log = new DecisionLog(this.state);
		this.lifecycle.handle(event, now, log);
		placeWaiting(now, log);
		return log.decisions();
	}

	private void placeWaiting(Instant now, DecisionLog log) {
		Set<GangShape> unplaceable = new HashSet<>();
		for (JobRecord job : List.copyOf(this.state.jobs().waiting())) {
			GangShape shape = job.spec().shape();
			if (unplaceable.contains(shape)) {
				continue;
			}
			GangPlacement placement = firstFit(shape);
			if (placement.slots().isEmpty()) {
				unplaceable.add(shape);
				continue;
			}
			log.add(new SchedulingDecision.PlaceGang(job.id(), this.state.nextToken(), placement, now));
		}
	}

	private GangPlacement firstFit(GangShape shape) {
		for (RackRecord rack : this.state.fleet().racks()) {
			GangPlacement placement = GangFit.firstIn(rack, shape);
			if (!placement.slots().isEmpty()) {
				return placement;
			}
		}
		return new GangPlacement(List.of());
	}

	@Override
	public void apply(List<SchedulingDecision> decisions) {
		decisions.forEach(this.state::apply);
	}

	@Override
	public SchedulingView view() {
		return Views.of(this.state);
	}

}
