package io.verbenatrack.fleetd;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.EventLog.Field;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Writes a log line for each committed decision.
 */
final class DecisionLines {

	private DecisionLines() {
	}

	static void write(EventLog events, long term, FleetCommand command) {
		Field inTerm = new Field("term", term);
		switch (command) {
			case FleetCommand.AcceptJob accept ->
				events.write(LogEvent.FLEET_JOB_ACCEPTED, new Field("job", accept.job()),
						new Field("queue", accept.queue()), new Field("account", accept.account()), inTerm);
			case FleetCommand.CancelJob cancel ->
				events.write(LogEvent.FLEET_JOB_CANCELLED, new Field("job", cancel.job()), inTerm);
			case FleetCommand.StartRun start -> events.write(LogEvent.FLEET_RUN_STARTED,
					new Field("job", start.task().job()), new Field("task", text(start.task())),
					new Field("run", start.run()), new Field("worker", start.life().worker()), inTerm);
			case FleetCommand.EndRun end -> events.write(LogEvent.FLEET_RUN_ENDED, new Field("job", end.task().job()),
					new Field("task", text(end.task())), new Field("run", end.run()),
					new Field("worker", end.life().worker()), new Field("how", end.how()), inTerm);
			case FleetCommand.AdoptConfiguration adopt -> events.write(LogEvent.FLEET_CONFIGURATION_ADOPTED,
					new Field("version", adopt.configuration().version()), inTerm);
			case FleetCommand.ForgetJobs forget -> {
				// Jobs that ended long ago concern nobody any more.
			}
		}
	}

	private static String text(TaskId task) {
		return task.occurrence() + "." + task.step() + "." + task.index();
	}

}
