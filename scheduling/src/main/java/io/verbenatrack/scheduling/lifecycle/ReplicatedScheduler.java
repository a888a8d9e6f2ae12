package io.verbenatrack.scheduling.lifecycle;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.JobId;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.SchedulingView;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.SchedulingViews;

/**
 * Base class of schedulers, which handles everything that is independent of the placement
 * policy. Subclasses choose the accelerators.
 */
public abstract class ReplicatedScheduler implements Scheduler {

	/**
	 * The default number of ended jobs to retain, which is 9 days at 2,100 jobs a day.
	 */
	public static final int DEFAULT_REMEMBERED_JOBS = 20_000;

	/** Ended jobs are removed in batches, once more than this many exceed the limit. */
	private static final int FORGET_BATCH_SIZE = 200;

	private final SchedulingState state = new SchedulingState();

	private final GangLifecycle lifecycle = new GangLifecycle(this.state);

	private final int rememberedJobs;

	/**
	 * Creates a scheduler with no jobs and no workers.
	 * @param rememberedJobs the number of ended jobs to retain; the oldest are dropped
	 * first
	 */
	protected ReplicatedScheduler(int rememberedJobs) {
		this.rememberedJobs = rememberedJobs;
	}

	@Override
	public final List<SchedulingDecision> decide(SchedulingEvent event, Instant now) {
		DecisionCollector collector = new DecisionCollector(this.state);
		this.lifecycle.handle(event, now, collector);
		applyPolicy(event, now, collector);
		List<JobId> excess = this.state.jobs().endedBeyond(this.rememberedJobs + FORGET_BATCH_SIZE);
		if (!excess.isEmpty()) {
			collector.add(new SchedulingDecision.ForgetJobs(this.state.jobs().endedBeyond(this.rememberedJobs)));
		}
		return collector.decisions();
	}

	/**
	 * Makes the policy's decisions on an event, after the lifecycle decisions on it have
	 * been applied.
	 * @param event what happened
	 * @param now the time of the event
	 * @param collector the collector of decisions
	 */
	protected abstract void applyPolicy(SchedulingEvent event, Instant now, DecisionCollector collector);

	/**
	 * Returns the state that decisions are applied to.
	 * @return the state
	 */
	protected final SchedulingState state() {
		return this.state;
	}

	@Override
	public final void apply(List<SchedulingDecision> decisions) {
		decisions.forEach(this.state::apply);
	}

	@Override
	public final SchedulingView view() {
		return SchedulingViews.of(this.state);
	}

	@Override
	public final List<SchedulingDecision> replay() {
		return this.state.replay();
	}

	@Override
	public final Optional<SchedulingView.JobView> job(JobId id) {
		return this.state.jobs().job(id).map((job) -> SchedulingViews.job(this.state, job));
	}

}
