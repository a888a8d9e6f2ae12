package io.verbenatrack.fleet.forecast;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.fleet.state.TaskState;

/**
 * The runs in progress that the leader observes.
 */
final class RunTracks {

	private final FleetState state;

	private final LearnedRunTimes runTimes;

	private final WorkerSpeeds speeds;

	private final Map<TaskId, RunTrack> runs = new HashMap<>();

	/** By the first task of the step. */
	private final Map<TaskId, StepTrack> steps = new HashMap<>();

	RunTracks(FleetState state, LearnedRunTimes runTimes, WorkerSpeeds speeds) {
		this.state = state;
		this.runTimes = runTimes;
		this.speeds = speeds;
	}

	int size() {
		return this.runs.size();
	}

	Collection<StepTrack> steps() {
		return this.steps.values();
	}

	/**
	 * Returns an observed run.
	 * @param task the task
	 * @param run the run number
	 * @return the run, or null
	 */
	RunTrack find(TaskId task, int run) {
		RunTrack track = this.runs.get(task);
		return (track != null && track.run() == run) ? track : null;
	}

	/**
	 * Returns a run of the state, and begins to observe it if it is new.
	 * @param task the task
	 * @param run the number of its current run
	 * @param worker where it runs
	 * @param sentNanos when its start was sent, 0 if it is not known
	 * @return the run, or null if its run time means nothing
	 */
	RunTrack findOrBegin(TaskId task, int run, WorkerModel worker, long sentNanos) {
		RunTrack found = find(task, run);
		if (found != null) {
			return found;
		}
		Optional<JobState> job = this.state.job(task.job());
		Optional<StepState> step = this.state.step(task);
		if (job.isEmpty() || step.isEmpty() || step.get().spec().lasting()) {
			return null;
		}
		TaskState taskState = step.get().tasks().get(task.index());
		String checkpoint = step.get().spec().gang() ? step.get().gangCheckpoint() : taskState.checkpoint();
		boolean resumed = step.get().spec().checkpoints() && !checkpoint.isEmpty();
		RunTrack track = new RunTrack(task, run, stepTrack(task, run, job.get(), step.get()), worker, resumed,
				sentNanos);
		this.runs.put(task, track);
		track.step().runs().add(track);
		return track;
	}

	private StepTrack stepTrack(TaskId task, int run, JobState job, StepState step) {
		TaskId key = task.member(0);
		StepTrack known = this.steps.get(key);
		if (known != null && (!known.gang() || known.gangRun() == run)) {
			return known;
		}
		boolean gang = step.spec().gang();
		RunClass runClass = new RunClass(job.queue(), job.account());
		StepTrack track = new StepTrack(runClass, step.spec(),
				LearnedRunTimes.logEstimate(step.spec().estimatedMillis()), gang ? run : 0,
				gang ? gangWorkers(step) : List.of());
		double expected = this.runTimes.expect(runClass, track.logEstimate());
		track.expect(expected, this.runTimes.spread(runClass), this.runTimes.predict(runClass, track.logEstimate()));
		this.steps.put(key, track);
		return track;
	}

	private List<WorkerModel> gangWorkers(StepState step) {
		return step.tasks()
			.stream()
			.map(TaskState::runningOn)
			.flatMap(Optional::stream)
			.map(WorkerIncarnation::worker)
			.distinct()
			.map(this.speeds::model)
			.toList();
	}

	/** Removes what concerns no run in progress any more. */
	void removeStale() {
		this.runs.values().removeIf((run) -> !this.state.isRunning(run.task(), run.run()));
		this.steps.values().forEach((step) -> step.runs().clear());
		this.runs.values().forEach((run) -> run.step().runs().add(run));
		this.steps.values().removeIf((step) -> step.runs().isEmpty());
	}

	/**
	 * Returns the runs of a gang, or a single run.
	 * @param run the run
	 * @return the runs that go on and end together
	 */
	static List<RunTrack> together(RunTrack run) {
		return run.step().gang() ? new ArrayList<>(run.step().runs()) : List.of(run);
	}

}
