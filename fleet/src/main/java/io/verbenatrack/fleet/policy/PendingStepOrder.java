package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.verbenatrack.fleet.forecast.RunForecast;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.fleet.state.StepState;
import io.verbenatrack.fleet.state.TaskState;

/**
 * Collects the steps that may start and sorts them: guaranteed steps first, then by
 * completion outlook, then by priority. Within a priority the step with the least work
 * comes first, so that many small jobs do not wait for a large one.
 */
final class PendingStepOrder {

	/**
	 * A task must not start before it is due, and the clocks of instances differ
	 * slightly.
	 */
	private static final long CLOCK_SKEW_MILLIS = 60;

	/**
	 * The maximum number of waiting occurrences of a job that a pass considers, the
	 * earliest ones, so that a job with thousands of them does not delay the others.
	 */
	private static final int MAX_WAITING_OCCURRENCES = 256;

	private PendingStepOrder() {
	}

	static List<PendingStep> sorted(FleetState state, RunForecast forecast, Predicate<PendingStep> guaranteed,
			long nowMillis) {
		List<PendingStep> pending = new ArrayList<>();
		for (JobState job : state.unfinishedJobs()) {
			Optional<Queue> queue = state.queueOf(job);
			queue.ifPresent((known) -> collect(job, known, forecast, nowMillis, pending));
		}
		return pending.stream()
			.map((step) -> new Ranked(step, guaranteed.test(step), CompletionOutlook.of(step, nowMillis), step.work()))
			.sorted(Ranked.ORDER)
			.map(Ranked::step)
			.toList();
	}

	private static void collect(JobState job, Queue queue, RunForecast runForecast, long nowMillis,
			List<PendingStep> pending) {
		JobForecast forecast = null;
		int waitingOccurrences = 0;
		for (int occurrence = job.nextOpenOccurrence(0); occurrence < job.plan().occurrences()
				&& waitingOccurrences < MAX_WAITING_OCCURRENCES; occurrence = job.nextOpenOccurrence(occurrence + 1)) {
			if (job.plan().scheduled() && job.plan().dueMillis(occurrence) + CLOCK_SKEW_MILLIS > nowMillis) {
				return;
			}
			long ready = Math.max(job.acceptedMillis(), job.plan().dueMillis(occurrence));
			int pendingBefore = pending.size();
			for (int number = 0; number < job.plan().steps().size(); number++) {
				StepState step = job.step(occurrence, number);
				List<Integer> waiting = waiting(step);
				if (!waiting.isEmpty() && job.dependenciesDone(occurrence, number)) {
					forecast = (forecast != null) ? forecast : JobForecast.of(job, queue, runForecast);
					pending.add(new PendingStep(job, queue, occurrence, number, step, waiting, ready, forecast));
				}
			}
			waitingOccurrences += (pending.size() > pendingBefore) ? 1 : 0;
		}
	}

	// A gang restarts only after all members of its previous run have ended.
	private static List<Integer> waiting(StepState step) {
		List<Integer> waiting = new ArrayList<>();
		for (int index = 0; index < step.tasks().size(); index++) {
			TaskState task = step.tasks().get(index);
			if (task.waiting()) {
				waiting.add(index);
			}
		}
		boolean incomplete = step.spec().gang() && waiting.size() < step.tasks().size();
		return incomplete ? List.of() : waiting;
	}

	// Holds the sort keys, which are computed once for each step.
	private record Ranked(PendingStep step, boolean guaranteed, CompletionOutlook outlook, double work) {

		static final Comparator<Ranked> ORDER = Comparator.comparing((Ranked ranked) -> !ranked.guaranteed())
			.thenComparing(Ranked::outlook)
			.thenComparingInt((ranked) -> ranked.step().queue().priority())
			.thenComparingDouble(Ranked::work);

	}

}
