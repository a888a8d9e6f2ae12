package io.verbenatrack.fleetd;

import java.util.Locale;
import java.util.stream.Collectors;

import io.verbenatrack.fleet.forecast.ForecastEvent;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.policy.CapacityHolder;
import io.verbenatrack.fleet.policy.FleetEvent;
import io.verbenatrack.fleet.policy.IgnoreReason;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.EventLog.Field;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Logs committed decisions and other events of the leader.
 */
final class DecisionLogger {

	private DecisionLogger() {
	}

	static void write(EventLog events, long term, FleetCommand command) {
		Field termField = new Field("term", term);
		switch (command) {
			case FleetCommand.AcceptJob accept ->
				events.write(LogEvent.FLEET_JOB_ACCEPTED, new Field("job", accept.job()),
						new Field("queue", accept.queue()), new Field("account", accept.account()),
						new Field("steps", describeSteps(accept.plan())), termField);
			case FleetCommand.CancelJob cancel ->
				events.write(LogEvent.FLEET_JOB_CANCELLED, new Field("job", cancel.job()), termField);
			case FleetCommand.CancelUnknownJob cancel ->
				events.write(LogEvent.FLEET_CANCELLATION_RECORDED, new Field("job", cancel.cancellation().job()),
						new Field("account", cancel.cancellation().account()), termField);
			case FleetCommand.StartRun start -> events.write(LogEvent.FLEET_RUN_STARTED,
					new Field("job", start.task().job()), new Field("task", taskNumber(start.task())),
					new Field("run", start.run()), new Field("worker", start.life().worker()), termField);
			case FleetCommand.EndRun end -> events.write(LogEvent.FLEET_RUN_ENDED, new Field("job", end.task().job()),
					new Field("task", taskNumber(end.task())), new Field("run", end.run()),
					new Field("worker", end.life().worker()), new Field("how", end.how()), termField);
			case FleetCommand.AdoptConfiguration adopt -> events.write(LogEvent.FLEET_CONFIGURATION_ADOPTED,
					new Field("version", adopt.configuration().version()), termField);
			case FleetCommand.BeginJobs begin ->
				begin.jobs().forEach((job) -> events.write(LogEvent.FLEET_JOB_BEGAN, new Field("job", job), termField));
			case FleetCommand.ForgetJobs forget -> events.write(LogEvent.FLEET_JOBS_FORGOTTEN,
					new Field("jobs", forget.jobs().size()), new Field("first", forget.jobs().getFirst()),
					new Field("last", forget.jobs().getLast()), termField);
			case FleetCommand.ForgetCancellations forget ->
				events.write(LogEvent.FLEET_CANCELLATIONS_FORGOTTEN, new Field("jobs", forget.cancellations().size()),
						new Field("first", forget.cancellations().getFirst().job()),
						new Field("last", forget.cancellations().getLast().job()), termField);
			case FleetCommand.EvacuateZone evacuate ->
				events.write(LogEvent.FLEET_ZONE_EVACUATED, new Field("zone", evacuate.zone()), termField);
			case FleetCommand.WithdrawEvacuation withdraw ->
				events.write(LogEvent.FLEET_EVACUATION_WITHDRAWN, new Field("zone", withdraw.zone()), termField);
			case FleetCommand.RecordRunTimes record -> {
				// Every few seconds; the changes that matter are logged as events.
			}
		}
	}

	static void write(EventLog events, long term, FleetEvent event) {
		Field termField = new Field("term", term);
		switch (event) {
			case FleetEvent.WorkerJoined joined ->
				events.write(LogEvent.FLEET_WORKER_JOINED, new Field("worker", joined.report().life().worker()),
						new Field("born", joined.report().life().bornMillis()),
						new Field("zone", joined.report().zone()), new Field("rack", joined.report().rack()),
						new Field("running", joined.report().running().size()), termField);
			case FleetEvent.WorkerDraining draining ->
				events.write(LogEvent.FLEET_WORKER_DRAINING, new Field("worker", draining.incarnation().worker()),
						new Field("running", draining.running()), termField);
			case FleetEvent.WorkerGone gone ->
				events.write(LogEvent.FLEET_WORKER_GONE, new Field("worker", gone.incarnation().worker()),
						new Field("silentMillis", gone.silentMillis()), termField);
			case FleetEvent.WorkerReleased released ->
				events.write(LogEvent.FLEET_WORKER_RELEASED, new Field("worker", released.incarnation().worker()),
						new Field("service", released.service()), termField);
			case FleetEvent.ReportIgnored ignored -> writeIgnoredReport(events, termField, ignored);
			case FleetEvent.JobRefused refused ->
				events.write(LogEvent.FLEET_JOB_REFUSED, new Field("job", refused.job()),
						new Field("account", refused.account()), new Field("jobBytes", refused.jobBytes()),
						new Field("accountBytes", refused.accountBytes()), new Field("maxBytes", refused.maxBytes()),
						new Field("retryMillis", refused.retryMillis()), termField);
			case FleetEvent.CancellationRefused refused ->
				events.write(LogEvent.FLEET_CANCELLATION_REFUSED, new Field("job", refused.cancellation().job()),
						new Field("account", refused.cancellation().account()),
						new Field("accountBytes", refused.accountBytes()), new Field("maxBytes", refused.maxBytes()),
						new Field("retryMillis", refused.retryMillis()), termField);
			case FleetEvent.CancelledJobRefused refused ->
				events.write(LogEvent.FLEET_CANCELLED_JOB_REFUSED, new Field("job", refused.cancellation().job()),
						new Field("account", refused.cancellation().account()), termField);
			case FleetEvent.EvacuationRefused refused -> events.write(LogEvent.FLEET_EVACUATION_REFUSED,
					new Field("zone", refused.zone()), new Field("withdrawal", refused.withdrawal()),
					new Field("reason", refused.reason()), new Field("waitedMillis", refused.waitedMillis()),
					new Field("evacuated", refused.evacuated()), termField);
			case FleetEvent.RunGivenUp givenUp -> events.write(LogEvent.FLEET_RUN_GIVEN_UP,
					new Field("job", givenUp.task().job()), new Field("task", taskNumber(givenUp.task())),
					new Field("run", givenUp.run()), new Field("worker", givenUp.incarnation().worker()),
					new Field("born", givenUp.incarnation().bornMillis()), new Field("cause", givenUp.cause()),
					new Field("silentMillis", givenUp.silentMillis()), termField);
			case FleetEvent.EndIgnored ignored -> events.write(LogEvent.FLEET_END_IGNORED,
					new Field("job", ignored.end().task().job()), new Field("task", taskNumber(ignored.end().task())),
					new Field("run", ignored.end().run()), new Field("worker", ignored.incarnation().worker()),
					new Field("born", ignored.incarnation().bornMillis()), new Field("how", ignored.end().how()),
					new Field("end", ignored.end().number()), new Field("currentRun", ignored.currentRun()),
					new Field("currentWorker", ignored.currentWorker().map(WorkerIncarnation::worker).orElse(null)),
					termField);
			case FleetEvent.WorkerSuspected suspected -> events.write(LogEvent.FLEET_WORKER_SUSPECTED,
					new Field("worker", suspected.incarnation().worker()), termField);
			case FleetEvent.RunPreempted preempted -> events.write(LogEvent.FLEET_RUN_PREEMPTED,
					new Field("job", preempted.task().job()), new Field("task", taskNumber(preempted.task())),
					new Field("run", preempted.run()), new Field("forJob", preempted.startingStep().job()),
					new Field("forStep", preempted.startingStep().step()),
					new Field("guaranteed", preempted.guaranteed()), new Field("lostMillis", preempted.lostMillis()),
					new Field("earlier", preempted.earlierPreemptions()), termField);
			case FleetEvent.RunMoved moved -> events.write(LogEvent.FLEET_RUN_MOVED,
					new Field("job", moved.task().job()), new Field("task", taskNumber(moved.task())),
					new Field("run", moved.run()), new Field("worker", moved.incarnation().worker()),
					new Field("percent", moved.percent()), new Field("cause", moved.cause()), termField);
			case FleetEvent.ForecastChanged changed -> write(events, termField, changed.change());
			case FleetEvent.JobWaits waits -> events.write(LogEvent.FLEET_JOB_WAITS, new Field("job", waits.job()),
					new Field("waitedMillis", waits.waitedMillis()), new Field("reason", waits.reason()),
					new Field("step", waits.step()), new Field("tasks", waits.tasks()),
					new Field("accelerators", waits.accelerators()), new Field("outlook", waits.outlook()),
					new Field("workers", waits.workers()), new Field("eligible", waits.eligible()),
					new Field("unreserved", waits.unreserved()),
					new Field("holders",
							waits.holders().stream().map(CapacityHolder::toString).collect(Collectors.joining(", "))),
					termField);
		}
	}

	private static void write(EventLog events, Field termField, ForecastEvent event) {
		switch (event) {
			case ForecastEvent.RunTimesSwitched switched ->
				events.write(switched.learned() ? LogEvent.FLEET_RUN_TIMES_LEARNED : LogEvent.FLEET_RUN_TIMES_DECLARED,
						new Field("queue", switched.runClass().queue()),
						new Field("account", switched.runClass().account()),
						new Field("samples", Math.round(switched.samples())),
						new Field("learnedError", factor(switched.learnedError())),
						new Field("callerError", factor(switched.callerError())), termField);
			case ForecastEvent.SpeedChanged changed -> events.write(LogEvent.FLEET_WORKER_SPEED_CHANGED,
					new Field("worker", changed.worker()), new Field("before", changed.before()),
					new Field("now", changed.now()), new Field("percent", changed.percent()), termField);
			case ForecastEvent.ValuesIgnored ignored ->
				events.write(LogEvent.FLEET_RUN_TIMES_IGNORED, new Field("values", ignored.values()),
						new Field("worker", ignored.worker()), new Field("example", ignored.example()), termField);
		}
	}

	// Errors are logged as factors, as 1.50 for one half too much or a third too little.
	private static String factor(double logError) {
		return String.format(Locale.ROOT, "%.2f", Math.exp(logError));
	}

	// Late and repeated reports arrive all the time and change nothing.
	private static void writeIgnoredReport(EventLog events, Field termField, FleetEvent.ReportIgnored ignored) {
		if (ignored.reason() == IgnoreReason.OUTDATED || ignored.repeated()) {
			return;
		}
		events.write(LogEvent.FLEET_REPORT_IGNORED, new Field("worker", ignored.report().life().worker()),
				new Field("born", ignored.report().life().bornMillis()),
				new Field("address", ignored.report().address()), new Field("service", ignored.report().service()),
				new Field("sequence", ignored.report().sequence()), new Field("reason", ignored.reason()), termField);
	}

	private static String describeSteps(JobPlan plan) {
		return plan.steps()
			.stream()
			.map((step) -> step.count() + "x" + step.room().accelerators() + (step.gang() ? " gang" : "")
					+ (step.rackSensitive() ? " rack" : "") + " " + step.estimatedMillis() + " ms")
			.collect(Collectors.joining(", "));
	}

	private static String taskNumber(TaskId task) {
		return task.occurrence() + "." + task.step() + "." + task.index();
	}

}
