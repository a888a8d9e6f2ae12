package io.verbenatrack.telemetry;

/**
 * The events that the system logs; docs/EVENTS.md is generated from here.
 *
 * <p>
 * Each module numbers its events in its own range: server 1001 to 1999, control 2001 to
 * 2999, scheduling 3001 to 3999, routing 4001 to 4999, settings and command line 5001 to
 * 5999, the fleet 6001 to 6999. After adding an event run tools/generate-docs.
 */
public enum LogEvent {

	/** An instance is ready to serve. */
	INSTANCE_READY(1001, System.Logger.Level.INFO, "The instance is ready.", "Nothing to do."),

	/** An instance begins its graceful shutdown. */
	INSTANCE_STOPPING(1002, System.Logger.Level.INFO, "The instance stops and finishes what is in flight.",
			"Nothing to do."),

	/** An instance ended its graceful shutdown. */
	INSTANCE_STOPPED(1003, System.Logger.Level.INFO, "The instance has stopped.", "Nothing to do."),

	/** A graceful shutdown ran out of time. */
	SHUTDOWN_DEADLINE_PASSED(1004, System.Logger.Level.WARNING,
			"Requests were still in flight at the shutdown deadline.",
			"Raise timeouts.shutdown-deadline over the longest request."),

	/** An accepted configuration took effect on this instance. */
	CONFIGURATION_APPLIED(1010, System.Logger.Level.INFO, "A configuration is in force.", "Nothing to do."),

	/** The configuration lease could not be renewed. */
	ADMISSION_STOPPED(1011, System.Logger.Level.WARNING, "The configuration lease ran out, so no new work is admitted.",
			"Check the links to the control replicas."),

	/** The configuration lease was renewed after a gap. */
	ADMISSION_RESUMED(1012, System.Logger.Level.INFO, "The configuration lease is renewed, so work is admitted again.",
			"Nothing to do."),

	/** A worker that was not known announced itself. */
	WORKER_ANNOUNCED(1020, System.Logger.Level.INFO, "A worker announced itself.", "Nothing to do."),

	/** A worker did not renew its lease. */
	WORKER_LOST(1021, System.Logger.Level.WARNING, "The lease of a worker ran out; its gangs stop and wait again.",
			"Check the worker and its links."),

	/** An instance could not reach a worker. */
	WORKER_CALL_FAILED(1022, System.Logger.Level.WARNING, "A call to a worker failed and is tried again.",
			"Check the worker's address and its links."),

	/** A target that was not known announced itself. */
	TARGET_ANNOUNCED(1030, System.Logger.Level.INFO, "A target announced itself.", "Nothing to do."),

	/** A target did not renew its lease. */
	TARGET_LOST(1031, System.Logger.Level.WARNING, "The lease of a target ran out; nothing new is sent to it.",
			"Check the target and its links."),

	/** A connection gave no reply within its deadline. */
	TARGET_SILENT(1032, System.Logger.Level.WARNING, "A connection to a target is silent; a new one is tried.",
			"Check what tracks connections between the two."),

	/** Nobody can say whether a request ran. */
	REQUEST_OUTCOME_UNKNOWN(1040, System.Logger.Level.WARNING, "A request may have run; its caller was told so.",
			"Ask again with the same request id."),

	/** An unexpected error reached the loop of a thread. */
	THREAD_FAILED(1050, System.Logger.Level.ERROR, "A duty's thread met an error and goes on with the next item.",
			"Report it with the fields of this event."),

	/** Traces go to the log and a span ended. */
	TRACE_SPAN(1900, System.Logger.Level.INFO, "A span ended.",
			"Nothing to do; set telemetry.traces to none to silence it."),

	/** The replicas agreed to form a new cluster. */
	CLUSTER_FORMED(2001, System.Logger.Level.INFO, "The control replicas formed a new cluster.", "Nothing to do."),

	/** This replica leads from now on. */
	LEADERSHIP_BEGAN(2002, System.Logger.Level.INFO, "This replica leads the control log.", "Nothing to do."),

	/** This replica no longer leads. */
	LEADERSHIP_ENDED(2003, System.Logger.Level.INFO, "This replica no longer leads the control log.",
			"Nothing to do; if it repeats, check the links between the replicas."),

	/** A message of another cluster arrived. */
	OTHER_CLUSTER_HEARD(2004, System.Logger.Level.ERROR, "A message of another cluster arrived and was dropped.",
			"Correct the peers in the settings, or move the foreign data folder away."),

	/** A replica that lost its disk is being replaced. */
	REPLICA_REPLACED(2005, System.Logger.Level.WARNING,
			"A replica that lost its disk is being replaced by its new incarnation.",
			"Nothing to do; check the disk of that instance."),

	/** A membership took effect. */
	MEMBERSHIP_CHANGED(2006, System.Logger.Level.INFO, "A membership of the control log took effect.",
			"Nothing to do."),

	/** The disk of the control log failed. */
	DISK_FAILED(2007, System.Logger.Level.ERROR, "The disk of the control log failed, so this replica stepped down.",
			"Free or replace the disk, then restart the instance."),

	/** A gang that borrowed accelerators is stopped to make room. */
	GANG_RECLAIMED(3001, System.Logger.Level.INFO, "A gang saves its progress and stops to make room.",
			"Nothing to do; it waits again."),

	/** A worker failed too much. */
	WORKER_QUARANTINED(3002, System.Logger.Level.WARNING, "A worker failed too much and gets no work for a while.",
			"Check the worker."),

	/** The fleet does not cover a guarantee. */
	GUARANTEE_SHORT(3003, System.Logger.Level.WARNING, "The fleet does not cover all guarantees of an account.",
			"Bring workers back, or lower a guarantee. An empty list ends the shortage."),

	/** A job was refused for good. */
	JOB_REFUSED(3004, System.Logger.Level.INFO, "A job was refused for good.", "See the reason."),

	/** A local run started its instance and stand-ins. */
	EXAMPLE_STARTED(5001, System.Logger.Level.INFO, "The local example started.", "Nothing to do."),

	/** This instance decides on the fleet in a new term. */
	FLEET_LEADER_BEGAN(6001, System.Logger.Level.INFO, "This instance decides on the fleet in a new term.",
			"Nothing to do."),

	/** This instance no longer decides on the fleet. */
	FLEET_LEADER_ENDED(6002, System.Logger.Level.INFO, "This instance no longer decides on the fleet.",
			"Nothing to do; if it repeats, check the links between the control replicas."),

	/** A call was answered. */
	FLEET_CALL_ANSWERED(6003, System.Logger.Level.INFO, "A call was answered.", "Nothing to do."),

	/** A job is stored on a quorum. */
	FLEET_JOB_ACCEPTED(6004, System.Logger.Level.INFO, "A job is stored on a quorum.", "Nothing to do."),

	/** A job is cancelled; its runs are stopped. */
	FLEET_JOB_CANCELLED(6005, System.Logger.Level.INFO, "A job is cancelled; its runs are stopped.", "Nothing to do."),

	/** A job has ended. */
	FLEET_JOB_ENDED(6006, System.Logger.Level.INFO, "A job has ended.",
			"Look for the ends of its runs when it failed."),

	/** A run was decided and recorded. */
	FLEET_RUN_STARTED(6007, System.Logger.Level.INFO, "A run was decided and recorded.", "Nothing to do."),

	/** The end of a run was recorded. */
	FLEET_RUN_ENDED(6008, System.Logger.Level.INFO, "The end of a run was recorded.",
			"Look at the worker when runs of several jobs fail on it."),

	/** A run is stopped so that a guaranteed job can start. */
	FLEET_RUN_PREEMPTED(6009, System.Logger.Level.INFO, "A run is stopped so that a guaranteed job can start.",
			"Nothing to do."),

	/** A life of a worker was heard for the first time in this term. */
	FLEET_WORKER_JOINED(6010, System.Logger.Level.INFO, "A life of a worker was heard for the first time in this term.",
			"Nothing to do."),

	/** A worker says that it leaves; it gets no new work. */
	FLEET_WORKER_DRAINING(6011, System.Logger.Level.INFO, "A worker says that it leaves; it gets no new work.",
			"Nothing to do."),

	/** A worker is gone and its lease has run out. */
	FLEET_WORKER_GONE(6012, System.Logger.Level.WARNING, "A worker is gone and its lease has run out.",
			"Check the worker and its links."),

	/** A configuration of the fleet is stored on a quorum. */
	FLEET_CONFIGURATION_ADOPTED(6013, System.Logger.Level.INFO, "A configuration of the fleet is stored on a quorum.",
			"Nothing to do."),

	/** A configuration of the fleet was refused. */
	FLEET_CONFIGURATION_REFUSED(6014, System.Logger.Level.WARNING, "A configuration of the fleet was refused.",
			"Correct what the field problem names and send it again."),

	/** The leader of the fleet can be reached. */
	FLEET_LEADER_REACHED(6015, System.Logger.Level.INFO, "The leader of the fleet can be reached.", "Nothing to do."),

	/** The leader of the fleet cannot be reached; callers are told to come back. */
	FLEET_LEADER_UNREACHABLE(6016, System.Logger.Level.WARNING,
			"The leader of the fleet cannot be reached; callers are told to come back.",
			"Check the control replicas and the links to them."),

	/** A call could not be read. */
	FLEET_INPUT_REFUSED(6017, System.Logger.Level.WARNING, "A call could not be read.",
			"See the field problem; the sender has to correct it."),

	/** Decisions were not committed. */
	FLEET_COMMIT_FAILED(6018, System.Logger.Level.WARNING, "Decisions were not committed.",
			"Nothing to do; the next leader decides anew."),

	/** Log lines were left out to keep the volume bounded. */
	LOG_LINES_DROPPED(6019, System.Logger.Level.WARNING, "Log lines were left out to keep the volume bounded.",
			"Raise the limits on log lines or bytes a second."),

	/** The settings file changed. */
	SETTINGS_RELOADED(6020, System.Logger.Level.INFO, "The settings file changed and is in force.", "Nothing to do."),

	/** The settings file changed and cannot be used. */
	SETTINGS_UNREADABLE(6021, System.Logger.Level.WARNING,
			"The settings file cannot be read; the settings from before stay in force.",
			"Correct what the field problem names."),

	/** A job found no room. */
	FLEET_JOB_WAITS(6022, System.Logger.Level.INFO, "A job waits since no workers have room for it.",
			"Nothing to do; add workers when many jobs wait."),

	/** Jobs fail on a worker one after the other. */
	FLEET_WORKER_SUSPECTED(6023, System.Logger.Level.WARNING,
			"Several jobs failed on a worker in a row, so it gets nothing new for a while.", "Check the worker."),

	/** A run stands still. */
	FLEET_RUN_MOVED(6024, System.Logger.Level.WARNING,
			"A run makes no progress and is stopped so that it starts again on another worker.", "Check the worker.");

	private final int number;

	private final System.Logger.Level level;

	private final String text;

	private final String remedy;

	LogEvent(int number, System.Logger.Level level, String text, String remedy) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.remedy = remedy;
	}

	/**
	 * The number that operators search for; it never changes.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * How severe the event is.
	 * @return the level
	 */
	public System.Logger.Level level() {
		return this.level;
	}

	/**
	 * What happened.
	 * @return one sentence
	 */
	public String text() {
		return this.text;
	}

	/**
	 * What to do.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
