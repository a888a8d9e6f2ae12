package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.ServiceId;

/**
 * Decides once, on one state, which waiting tasks start where and what is preempted.
 */
final class PlacementPass {

	/** A guaranteed gang starts across racks rather than later than this. */
	private static final long SPREAD_MILLIS = 3500;

	/** What is not guaranteed stops others only when little is thrown away for it. */
	private static final double LOSS_SHARE = 0.25;

	private final FleetState state;

	private final Reservations reservations = new Reservations();

	private final Map<String, Integer> rackSizes = new HashMap<>();

	private final FleetTimings timings;

	private final StalledRunMover moves;

	private final Set<TaskId> stopping;

	private final long nowNanos;

	private final long nowMillis;

	private final Map<ServiceId, List<CandidateWorker>> hosts = new LinkedHashMap<>();

	private final List<FleetCommand.StartRun> starts = new ArrayList<>();

	private final List<FleetEvent.JobWaits> waiting = new ArrayList<>();

	private final Set<TaskId> preempted = new LinkedHashSet<>();

	private final Map<AccountId, Integer> guaranteedUse = new HashMap<>();

	PlacementPass(FleetState state, WorkerRegistry board, FleetTimings timings, StalledRunMover moves,
			Set<TaskId> stopping, long nowNanos, long nowMillis) {
		this.moves = moves;
		this.stopping = stopping;
		this.state = state;
		this.timings = timings;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
		Duration silence = timings.workerSilence(board.workers().size());
		for (TrackedWorker worker : board.workers()) {
			if (worker.usable(nowNanos, silence)) {
				this.hosts.computeIfAbsent(worker.report().service(), (service) -> new ArrayList<>()).add(host(worker));
				this.rackSizes.merge(worker.report().rack(), 1, Integer::sum);
			}
		}
	}

	private CandidateWorker host(TrackedWorker worker) {
		CandidateWorker host = new CandidateWorker(worker);
		Map<TaskId, Integer> known = this.state.runsOn(worker.life());
		known.forEach((task, run) -> occupy(host, task));
		worker.report()
			.running()
			.stream()
			.filter((run) -> !known.containsKey(run.task()))
			.forEach((run) -> occupy(host, run.task()));
		return host;
	}

	private void occupy(CandidateWorker host, TaskId task) {
		Optional<StepState> step = this.state.step(task);
		if (step.isEmpty()) {
			// Nothing is known of its size, so nothing may start beside it.
			host.take(host.free());
			return;
		}
		JobState job = this.state.job(task.job()).orElseThrow();
		int priority = this.state.queueOf(job).map((queue) -> queue.priority()).orElse(0);
		StepSpec spec = step.get().spec();
		boolean stops = this.stopping.contains(task) || this.moves.moves(task);
		double done = spec.estimatedMillis() * host.worker().percent(task) / 100.0;
		long left = (long) Math.max(0, spec.estimatedMillis() - done);
		int bound = spec.gang() ? spec.count() : 1;
		// What stops already costs nothing more, so that a plan stays as it is.
		double loss = stops ? 0 : spec.checkpoints() ? 1 : 1 + done * bound * PendingStep.weight(spec);
		host.occupy(new CandidateWorker.Occupant(task, spec.room(), priority, loss, left));
	}

	void run() {
		countGuaranteedUse();
		for (PendingStep step : PendingStepOrder.inOrder(this.state, this::guaranteed, this.nowMillis)) {
			List<CandidateWorker> candidates = this.hosts.getOrDefault(step.queue().service(), List.of());
			if (step.spec().gang()) {
				placeGang(step, candidates);
			}
			else {
				placeEach(step, candidates);
			}
		}
	}

	private void countGuaranteedUse() {
		for (JobState job : this.state.openJobs()) {
			if (this.state.queueOf(job).filter((queue) -> queue.priority() == 0).isPresent()) {
				int most = job.plan()
					.steps()
					.stream()
					.mapToInt((step) -> step.count() * step.room().accelerators())
					.max()
					.orElse(0);
				this.guaranteedUse.merge(job.account(), most, Integer::sum);
			}
		}
	}

	private boolean guaranteed(PendingStep step) {
		if (step.queue().priority() != 0) {
			return false;
		}
		int granted = this.state.configuration()
			.map((configuration) -> configuration.guaranteedAccelerators(step.job().account()))
			.orElse(0);
		return this.guaranteedUse.getOrDefault(step.job().account(), 0) <= granted;
	}

	private long waitedMillis(PendingStep step) {
		return this.nowMillis - step.readyMillis();
	}

	private void placeGang(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean spread = step.queue().priority() == 0 && waitedMillis(step) > SPREAD_MILLIS;
		List<CandidateWorker> sound = candidates.stream().filter((host) -> !avoided(step, 0, host)).toList();
		Optional<Map<Integer, CandidateWorker>> found = new GangPlacer(sound, this.reservations, this.nowMillis)
			.place(step, spread);
		if (found.isPresent()) {
			int run = step.step().nextGangRun();
			found.get().forEach((index, host) -> start(step, index, run, host));
		}
		else {
			noteWaiting(step);
			if (!preempt(step, candidates)) {
				this.reservations.keep(step, candidates, this.nowMillis);
			}
		}
	}

	private void placeEach(PendingStep step, Collection<CandidateWorker> candidates) {
		Map<CandidateWorker, Integer> used = new HashMap<>();
		boolean all = true;
		for (int index : step.waiting()) {
			Optional<CandidateWorker> host = choose(step, index, candidates, used);
			if (host.isPresent()) {
				used.merge(host.get(), 1, Integer::sum);
				start(step, index, step.step().tasks().get(index).run() + 1, host.get());
			}
			else {
				all = false;
				if (step.avoid(index).isEmpty() && !this.moves.avoidsAny(step.task(index), false)) {
					// What has no room for this task has none for the others.
					break;
				}
			}
		}
		if (!all) {
			noteWaiting(step);
			preempt(step, candidates);
		}
	}

	private Optional<CandidateWorker> choose(PendingStep step, int index, Collection<CandidateWorker> candidates,
			Map<CandidateWorker, Integer> used) {
		StepSpec spec = step.spec();
		boolean awaitRack = waitedMillis(step) < spec.estimatedMillis();
		return candidates.stream()
			.filter((host) -> host.suits(spec) && spec.room().fitsIn(host.free()))
			.filter((host) -> !host.reserved() || step.queue().priority() == 0)
			.filter((host) -> this.reservations.admits(host, step, this.nowMillis))
			.filter((host) -> step.avoid(index).filter(host.worker().life()::equals).isEmpty())
			.filter((host) -> !avoided(step, index, host))
			.filter((host) -> spec.mostOnOneWorker() == 0
					|| sharing(step, host) + used.getOrDefault(host, 0) < spec.mostOnOneWorker())
			.filter((host) -> !awaitRack || nearData(spec, host))
			.min(Comparator.comparing((CandidateWorker host) -> !nearData(spec, host))
				.thenComparing(CandidateWorker::empty)
				.thenComparingInt((host) -> this.rackSizes.get(host.rack()))
				.thenComparingInt((host) -> host.free().accelerators())
				.thenComparingLong((host) -> host.free().cpuMillis()));
	}

	private boolean avoided(PendingStep step, int index, CandidateWorker host) {
		return this.moves.avoids(step.task(index), step.spec().gang(), host.worker().life(), this.nowNanos);
	}

	private static boolean nearData(StepSpec spec, CandidateWorker host) {
		return spec.dataRack().isEmpty() || spec.dataRack().get().equals(host.rack());
	}

	private static int sharing(PendingStep step, CandidateWorker host) {
		return (int) step.step()
			.tasks()
			.stream()
			.filter((task) -> task.runningOn().filter(host.worker().life()::equals).isPresent())
			.count();
	}

	private void start(PendingStep step, int index, int run, CandidateWorker host) {
		Resources room = step.spec().room();
		host.take(room);
		this.starts.add(new FleetCommand.StartRun(step.task(index), run, host.worker().life()));
	}

	private boolean preempt(PendingStep step, Collection<CandidateWorker> candidates) {
		boolean owed = guaranteed(step);
		boolean urgent = step.queue().priority() == 0
				&& CompletionOutlook.of(step, this.nowMillis) == CompletionOutlook.IN_TIME;
		if ((!owed && !urgent) || waitedMillis(step) < this.timings.preemptAfter().toMillis()) {
			return false;
		}
		Optional<PreemptionPlanner.Plan> plan = new PreemptionPlanner(candidates).plan(step)
			.filter((found) -> owed || found.loss() <= step.work() * LOSS_SHARE);
		plan.ifPresent((found) -> {
			this.preempted.addAll(found.stops());
			found.hosts().forEach(CandidateWorker::reserve);
		});
		return plan.isPresent();
	}

	List<FleetCommand.StartRun> starts() {
		return this.starts;
	}

	List<FleetEvent.JobWaits> waiting() {
		return this.waiting;
	}

	private void noteWaiting(PendingStep step) {
		this.waiting.add(new FleetEvent.JobWaits(step.job().job(), step.number(), step.waiting().size(),
				step.spec().room().accelerators(), CompletionOutlook.of(step, this.nowMillis).name()));
	}

	Set<TaskId> preempted() {
		return this.preempted;
	}

}
