package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Checks what the modelled workers see against the promises of the scheduler: one run of
 * a task at a time, no start beside an acknowledged done end, no more failed runs than
 * attempts, and no start before the steps that come first.
 */
final class ModelChecker {

	/** The attempts of each queue of the fixtures. */
	private static final int MAX_ATTEMPTS = 2;

	private final LongSupplier clock;

	private final Map<TaskId, History> histories = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private final List<String> trace = new ArrayList<>();

	ModelChecker(LongSupplier clock) {
		this.clock = clock;
	}

	private History history(TaskId task) {
		return this.histories.computeIfAbsent(task, (key) -> new History());
	}

	void started(TaskId task, int run, ModelWorker worker, List<TaskId> dependencies) {
		note("start " + name(task) + " run " + run + " on " + worker.incarnation);
		History history = history(task);
		history.running.forEach((other) -> report(
				"TWICE: " + name(task) + " runs on " + worker.incarnation + " and on " + other.incarnation));
		if (history.doneAcknowledged) {
			report("TWICE: " + name(task) + " starts after its done end was acknowledged");
		}
		if (history.failuresMillis.size() >= MAX_ATTEMPTS) {
			report("BUDGET: " + name(task) + " starts after its attempts");
		}
		dependencies.stream()
			.filter((dependency) -> !history(dependency).done)
			.forEach(
					(dependency) -> report("ORDER: " + name(task) + " starts before " + name(dependency) + " is done"));
		history.running.add(worker);
		history.startsMillis.add(this.clock.getAsLong());
	}

	void ended(TaskId task, int run, RunOutcome how, ModelWorker worker) {
		note("end " + name(task) + " run " + run + " on " + worker.incarnation + " " + how);
		history(task).running.remove(worker);
		if (how == RunOutcome.DONE) {
			history(task).done = true;
		}
	}

	void acknowledged(TaskId task, int run, RunOutcome how, long endMillis, boolean lapsedSince) {
		note("acknowledged " + name(task) + " run " + run + " " + how + (lapsedSince ? " (lapsed since)" : ""));
		if (lapsedSince) {
			return;
		}
		History history = history(task);
		if (how == RunOutcome.DONE) {
			history.doneAcknowledged = true;
			if (history.startsMillis.stream().anyMatch((start) -> start > endMillis)) {
				report("TWICE: the done end of " + name(task) + " run " + run + " is acknowledged after a later start");
			}
		}
		else if (how == RunOutcome.FAILED) {
			history.failuresMillis.add(endMillis);
			if (history.startsMillis.stream().anyMatch((start) -> history.failuresBefore(start) >= MAX_ATTEMPTS)) {
				report("BUDGET: " + name(task) + " started after a failed end that is acknowledged now");
			}
		}
	}

	Set<TaskId> tasksDone() {
		Set<TaskId> done = new HashSet<>();
		this.histories.forEach((task, history) -> {
			if (history.doneAcknowledged) {
				done.add(task);
			}
		});
		return done;
	}

	void note(String event) {
		this.trace.add(this.clock.getAsLong() + " " + event);
	}

	void report(String violation) {
		note("!! " + violation);
		this.violations.add(this.clock.getAsLong() + " ms: " + violation);
	}

	List<String> violations() {
		return this.violations;
	}

	List<String> trace() {
		return this.trace;
	}

	private static String name(TaskId task) {
		return task.job().value().substring(12) + "." + task.step() + "." + task.index();
	}

	private static final class History {

		private final List<ModelWorker> running = new ArrayList<>();

		private final List<Long> startsMillis = new ArrayList<>();

		/** When the runs failed whose ends are acknowledged. */
		private final List<Long> failuresMillis = new ArrayList<>();

		private boolean done;

		private boolean doneAcknowledged;

		private long failuresBefore(long millis) {
			return this.failuresMillis.stream().filter((failure) -> failure < millis).count();
		}

	}

}
