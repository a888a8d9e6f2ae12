package io.verbenatrack.fleet.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.fleet.forecast.Quantile;
import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.model.ServiceId;

/**
 * Decides which runs leave a worker whose speed fell while they ran. Only runs that save
 * checkpoints leave, as the others would lose their work.
 */
final class SlowedWorkers {

	/**
	 * A worker is slowed when its speed is below the one it had before, and below that of
	 * the typical worker, by this factor. Most objectives leave room for a run that takes
	 * twice as long, and workers that are always slow are chosen knowingly.
	 */
	private static final double SLOWED_FACTOR = 2;

	private final FleetState state;

	private final WorkerRegistry registry;

	private final RunForecast forecast;

	private final Map<TaskId, Begin> begins = new HashMap<>();

	private double typicalSpeed = 1;

	SlowedWorkers(FleetState state, WorkerRegistry registry, RunForecast forecast) {
		this.state = state;
		this.registry = registry;
		this.forecast = forecast;
	}

	/**
	 * Decides whether a run leaves its worker.
	 * @param run the run as reported by its worker
	 * @param step the step of its task
	 * @param progress the progress of the run
	 * @param worker its worker
	 * @param overheadMillis the time for stopping a run and starting it again, in
	 * milliseconds
	 * @return whether the worker is slowed and the run, or its gang, ends sooner
	 * elsewhere
	 */
	boolean shouldLeave(ReportedRun run, StepState step, RunProgress progress, TrackedWorker worker,
			double overheadMillis) {
		double speed = this.forecast.speed(worker.incarnation());
		Begin begin = this.begins.compute(run.task(),
				(task, known) -> (known != null && known.run() == run.run()) ? known : new Begin(run.run(), speed));
		if (!step.spec().checkpoints() || run.checkpoint().isEmpty() || !isSlowed(speed)
				|| speed * SLOWED_FACTOR >= begin.speed()) {
			return false;
		}
		// A straggler is as slow elsewhere, so its own pace is scaled.
		double here = progress.remainingMillis(Quantile.MEDIAN);
		double elsewhere = here * speed / speedElsewhere(run.task(), step);
		return overheadMillis + elsewhere < here && hasRoomElsewhere(run.task(), step, worker);
	}

	private boolean isSlowed(double speed) {
		return speed * SLOWED_FACTOR < this.typicalSpeed;
	}

	// The other members of a gang stay on workers like their present ones.
	private double speedElsewhere(TaskId task, StepState step) {
		double speed = this.typicalSpeed;
		if (step.spec().gang()) {
			for (int member = 0; member < step.tasks().size(); member++) {
				if (member != task.index()) {
					double other = step.tasks()
						.get(member)
						.runningOn()
						.map(this.forecast::speed)
						.orElse(this.typicalSpeed);
					speed = isSlowed(other) ? speed : Math.min(speed, other);
				}
			}
		}
		return speed;
	}

	// Other steps may take the room before the run has stopped, so this is a precaution.
	private boolean hasRoomElsewhere(TaskId task, StepState step, TrackedWorker slowed) {
		if (!startsAgainOn(task, slowed.report().service())) {
			return false;
		}
		StepSpec spec = step.spec();
		long needed = !spec.gang() ? 1
				: step.tasks()
					.stream()
					.filter((member) -> member.runningOn().filter(slowed.incarnation()::equals).isPresent())
					.count();
		long slots = 0;
		for (TrackedWorker other : this.registry.workers()) {
			boolean sameRack = other.report().rack().equals(slowed.report().rack());
			if (other != slowed && other.report().service().equals(slowed.report().service())
					&& !other.report().draining() && (sameRack || !spec.rackSensitive())
					&& !isSlowed(this.forecast.speed(other.incarnation()))) {
				CandidateWorker candidate = new CandidateWorker(other, 1);
				this.state.runsOn(other.incarnation())
					.keySet()
					.forEach((running) -> this.state.step(running)
						.ifPresent((occupying) -> candidate.allocate(occupying.spec().room())));
				slots += candidate.matches(spec) ? candidate.maxTasks(spec) : 0;
			}
		}
		return slots >= needed;
	}

	// A later configuration may route the queue to another service, or lack it.
	private boolean startsAgainOn(TaskId task, ServiceId service) {
		return this.state.job(task.job())
			.flatMap(this.state::queueOf)
			.filter((queue) -> queue.service().equals(service))
			.isPresent();
	}

	/**
	 * Computes the speed of the typical worker, and removes all other tasks.
	 * @param running the tasks that are still running
	 */
	void update(Set<TaskId> running) {
		double[] speeds = this.registry.workers()
			.stream()
			.mapToDouble((worker) -> this.forecast.speed(worker.incarnation()))
			.toArray();
		Arrays.sort(speeds);
		this.typicalSpeed = (speeds.length > 0) ? speeds[speeds.length / 2] : 1;
		this.begins.keySet().retainAll(running);
	}

	/**
	 * The begin of a run.
	 *
	 * @param run the run number
	 * @param speed the speed of its worker when the run was first reported
	 */
	private record Begin(int run, double speed) {

	}

}
