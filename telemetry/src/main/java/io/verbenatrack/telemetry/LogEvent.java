package io.verbenatrack.telemetry;

/**
 * The log events of the system. docs/EVENTS.md is generated from this enum.
 *
 * <p>
 * Each module uses its own range of event numbers: server 1001 to 1999, control 2001 to
 * 2999, scheduling 3001 to 3999, routing 4001 to 4999, settings and command line 5001 to
 * 5999, the fleet 6001 to 6999. Run tools/generate-docs after a change here.
 */
public enum LogEvent {

	/** An instance is ready to serve. */
	INSTANCE_READY(1001, System.Logger.Level.INFO, "The instance is ready.", "Nothing to do."),

	/** An instance starts its graceful shutdown. */
	INSTANCE_STOPPING(1002, System.Logger.Level.INFO,
			"The instance is shutting down and completes the requests in flight.", "Nothing to do."),

	/** An instance has completed its graceful shutdown. */
	INSTANCE_STOPPED(1003, System.Logger.Level.INFO, "The instance has stopped.", "Nothing to do."),

	/** A graceful shutdown reached its deadline. */
	SHUTDOWN_DEADLINE_PASSED(1004, System.Logger.Level.WARNING,
			"Requests were still in flight at the shutdown deadline.",
			"Set timeouts.shutdown-deadline higher than the duration of the longest request."),

	/** Suspensions of the machine cannot be measured. */
	LEASE_CLOCK_ESTIMATED(1005, System.Logger.Level.WARNING,
			"The boot-time clock cannot be read, so a jump of the wall clock counts as a suspension.",
			"Run Java 22 or later on Linux. Until then a step of the wall clock ends the lease of the leader."),

	/** An accepted configuration took effect on this instance. */
	CONFIGURATION_APPLIED(1010, System.Logger.Level.INFO, "A new configuration took effect on this instance.",
			"Nothing to do."),

	/** The configuration lease could not be renewed. */
	ADMISSION_STOPPED(1011, System.Logger.Level.WARNING, "The configuration lease expired, so no new work is admitted.",
			"Check the network connections to the control replicas."),

	/** The configuration lease was renewed after it had expired. */
	ADMISSION_RESUMED(1012, System.Logger.Level.INFO,
			"The configuration lease was renewed, so new work is admitted again.", "Nothing to do."),

	/** A previously unknown worker announced itself. */
	WORKER_ANNOUNCED(1020, System.Logger.Level.INFO, "A worker announced itself.", "Nothing to do."),

	/** A worker did not renew its lease. */
	WORKER_LOST(1021, System.Logger.Level.WARNING,
			"The lease of a worker expired; its gangs are stopped and queued again.",
			"Check the worker and its network connections."),

	/** An instance could not reach a worker. */
	WORKER_CALL_FAILED(1022, System.Logger.Level.WARNING, "A call to a worker failed and will be retried.",
			"Check the address of the worker and the network connections to it."),

	/** A previously unknown target announced itself. */
	TARGET_ANNOUNCED(1030, System.Logger.Level.INFO, "A target announced itself.", "Nothing to do."),

	/** A target did not renew its lease. */
	TARGET_LOST(1031, System.Logger.Level.WARNING, "The lease of a target expired; no new requests are sent to it.",
			"Check the target and its network connections."),

	/** A connection to a target did not reply within its deadline. */
	TARGET_SILENT(1032, System.Logger.Level.WARNING,
			"A connection to a target did not reply in time; a new connection is opened.",
			"Check firewalls and other devices that track connections between the instance and the target."),

	/** It cannot be determined whether a request was executed. */
	REQUEST_OUTCOME_UNKNOWN(1040, System.Logger.Level.WARNING,
			"A request may have been executed; its outcome was reported as unknown.",
			"Send the request again with the same request id."),

	/** A thread caught an unexpected error in its loop. */
	THREAD_FAILED(1050, System.Logger.Level.ERROR,
			"A thread caught an unexpected error and continues with the next item.",
			"Report it with the fields of this event."),

	/** A thread ended because of an unexpected error. */
	THREAD_ENDED(1051, System.Logger.Level.ERROR, "A thread ended because of an unexpected error, so the process ends.",
			"Report it with the fields of this event; restart the instance if nothing else does."),

	/** A span ended and is exported to the log. */
	TRACE_SPAN(1900, System.Logger.Level.INFO, "A span ended.",
			"Nothing to do; set telemetry.traces to none to disable these events."),

	/** The replicas agreed to form a new cluster. */
	CLUSTER_FORMED(2001, System.Logger.Level.INFO, "The control replicas formed a new cluster.", "Nothing to do."),

	/** This replica became the leader. */
	LEADERSHIP_BEGAN(2002, System.Logger.Level.INFO, "This replica became the leader of the control log.",
			"Nothing to do."),

	/** This replica is no longer the leader. */
	LEADERSHIP_ENDED(2003, System.Logger.Level.INFO, "This replica is no longer the leader of the control log.",
			"Nothing to do; if it repeats, check the network connections between the replicas."),

	/** A message from another cluster was received. */
	OTHER_CLUSTER_HEARD(2004, System.Logger.Level.ERROR, "A message from another cluster was received and dropped.",
			"Correct the peers in the settings, or move the foreign data folder away."),

	/** A replica that lost its disk is being replaced. */
	REPLICA_REPLACED(2005, System.Logger.Level.WARNING,
			"A replica that lost its disk is being replaced by its new incarnation.",
			"Nothing to do; check the disk of that instance."),

	/** A new membership of the control log took effect. */
	MEMBERSHIP_CHANGED(2006, System.Logger.Level.INFO, "A new membership of the control log took effect.",
			"Nothing to do."),

	/** The disk of the control log failed. */
	DISK_FAILED(2007, System.Logger.Level.ERROR, "The disk of the control log failed, so this replica stepped down.",
			"Free space on the disk or replace it, then restart the instance."),

	/** A replica with an empty disk joined an existing cluster. */
	REPLICA_JOINED(2008, System.Logger.Level.INFO, "This replica, whose disk was empty, joined an existing cluster.",
			"Nothing to do."),

	/** A learner does not become a voter. */
	LEARNER_BEHIND(2009, System.Logger.Level.WARNING,
			"A replica that lost its disk or is new has not caught up for long, so that it does not vote.",
			"Check that it runs and that both replicas reach each other; another loss may stop the cluster."),

	/** A replica that does not answer was removed from the membership. */
	REPLICA_REMOVED(2010, System.Logger.Level.WARNING,
			"A replica that has not answered the leader for long was removed from the membership.",
			"Nothing to do if the instance is gone; otherwise check it and its network connections. It rejoins by itself."),

	/** A replica was not admitted to the membership. */
	REPLICA_TURNED_AWAY(2011, System.Logger.Level.WARNING,
			"A replica was not admitted, because as many replicas answer as there may be.",
			"Stop a control instance that is not needed."),

	/** A snapshot of the state replaced older entries of the control log. */
	LOG_COMPACTED(2012, System.Logger.Level.INFO,
			"A snapshot of the state was stored, and the entries that it covers were removed from the control log.",
			"Nothing to do."),

	/** A gang on borrowed accelerators is stopped to free them. */
	GANG_RECLAIMED(3001, System.Logger.Level.INFO,
			"A gang on borrowed accelerators is checkpointed and stopped to free them.",
			"Nothing to do; the gang is queued again."),

	/** A worker was quarantined. */
	WORKER_QUARANTINED(3002, System.Logger.Level.WARNING,
			"A worker failed repeatedly and is quarantined; it gets no new work.", "Check the worker."),

	/** The fleet lacks capacity for a guarantee. */
	GUARANTEE_SHORT(3003, System.Logger.Level.WARNING, "The fleet lacks capacity for all guarantees of an account.",
			"Restore or add workers, or lower a guarantee. An event with an empty list ends the shortage."),

	/** A job was permanently refused. */
	JOB_REFUSED(3004, System.Logger.Level.INFO, "A job was permanently refused.",
			"See the reason in the fields of this event."),

	/** A local run started its instance and its stand-in workers and targets. */
	EXAMPLE_STARTED(5001, System.Logger.Level.INFO, "The local example started.", "Nothing to do."),

	/** This instance became the fleet leader in a new term. */
	FLEET_LEADER_BEGAN(6001, System.Logger.Level.INFO, "This instance became the fleet leader in a new term.",
			"Nothing to do."),

	/** This instance is no longer the fleet leader. */
	FLEET_LEADER_ENDED(6002, System.Logger.Level.INFO, "This instance is no longer the fleet leader.",
			"Nothing to do; if it repeats, check the network connections between the control replicas."),

	/** A call was answered. */
	FLEET_CALL_ANSWERED(6003, System.Logger.Level.INFO, "A call was answered.", "Nothing to do."),

	/** A job was accepted and stored on a quorum. */
	FLEET_JOB_ACCEPTED(6004, System.Logger.Level.INFO, "A job was accepted and stored on a quorum.", "Nothing to do."),

	/** A job was cancelled; its runs are stopped. */
	FLEET_JOB_CANCELLED(6005, System.Logger.Level.INFO, "A job was cancelled; its runs are stopped.", "Nothing to do."),

	/** A job has ended. */
	FLEET_JOB_ENDED(6006, System.Logger.Level.INFO, "A job has ended.",
			"If the job failed, see the FLEET_RUN_ENDED events of its runs."),

	/** A run was scheduled and recorded. */
	FLEET_RUN_STARTED(6007, System.Logger.Level.INFO, "A run was scheduled and recorded.", "Nothing to do."),

	/** The end of a run was recorded. */
	FLEET_RUN_ENDED(6008, System.Logger.Level.INFO, "The end of a run was recorded.",
			"If runs of several jobs fail on the same worker, check the worker."),

	/** A run is preempted so that an urgent step can start. */
	FLEET_RUN_PREEMPTED(6009, System.Logger.Level.INFO, "A run is preempted so that an urgent step can start.",
			"Nothing to do; see docs/operations/preemption.md if the same job is preempted repeatedly."),

	/** An incarnation of a worker reported for the first time in this term. */
	FLEET_WORKER_JOINED(6010, System.Logger.Level.INFO,
			"An incarnation of a worker reported for the first time in this term.", "Nothing to do."),

	/** A worker is draining; it gets no new work. */
	FLEET_WORKER_DRAINING(6011, System.Logger.Level.INFO, "A worker is draining; it gets no new work.",
			"Nothing to do."),

	/** A worker was removed because its lease expired. */
	FLEET_WORKER_GONE(6012, System.Logger.Level.WARNING, "A worker was removed because its lease expired.",
			"Check the worker and its network connections."),

	/** A fleet configuration was adopted and stored on a quorum. */
	FLEET_CONFIGURATION_ADOPTED(6013, System.Logger.Level.INFO,
			"A fleet configuration was adopted and stored on a quorum.", "Nothing to do."),

	/** A fleet configuration was refused. */
	FLEET_CONFIGURATION_REFUSED(6014, System.Logger.Level.WARNING, "A fleet configuration was refused.",
			"Correct the error that the problem field names, then send the configuration again."),

	/** The fleet leader is reachable. */
	FLEET_LEADER_REACHED(6015, System.Logger.Level.INFO, "The fleet leader is reachable.", "Nothing to do."),

	/** The fleet leader is unreachable; callers are told to retry later. */
	FLEET_LEADER_UNREACHABLE(6016, System.Logger.Level.WARNING,
			"The fleet leader is unreachable; callers are told to retry later.",
			"Check the control replicas and the network connections to them."),

	/** A call could not be decoded. */
	FLEET_INPUT_REFUSED(6017, System.Logger.Level.WARNING, "A call could not be decoded.",
			"See the problem field; the sender has to correct the call."),

	/** Scheduling decisions could not be committed. */
	FLEET_COMMIT_FAILED(6018, System.Logger.Level.WARNING, "Scheduling decisions could not be committed.",
			"Nothing to do; the next leader makes new decisions."),

	/** Log lines were dropped to limit the volume. */
	LOG_LINES_DROPPED(6019, System.Logger.Level.WARNING, "Log lines were dropped to limit the volume.",
			"Raise the limits on log lines or bytes per second."),

	/** The settings file changed. */
	SETTINGS_RELOADED(6020, System.Logger.Level.INFO, "The settings file changed and the new settings took effect.",
			"Nothing to do."),

	/** The settings file changed and cannot be read. */
	SETTINGS_UNREADABLE(6021, System.Logger.Level.WARNING,
			"The settings file cannot be read; the previous settings remain in effect.",
			"Correct the error that the problem field names."),

	/** A job waits for capacity. */
	FLEET_JOB_WAITS(6022, System.Logger.Level.INFO, "A job waits because no workers have capacity for it.",
			"Nothing to do; see docs/operations/preemption.md for the reason and the holders."),

	/** Several consecutive jobs failed on a worker. */
	FLEET_WORKER_SUSPECTED(6023, System.Logger.Level.WARNING,
			"Several consecutive jobs failed on a worker, so it temporarily gets no new work.", "Check the worker."),

	/** A run makes no progress, or its worker became slow. */
	FLEET_RUN_MOVED(6024, System.Logger.Level.WARNING,
			"A run makes no progress, or its worker became slow. It is stopped, to be restarted on another worker.",
			"Check the worker."),

	/** A call that was received got no reply by its deadline. */
	FLEET_CALL_OVERDUE(6025, System.Logger.Level.ERROR,
			"A call that was received got no reply by its deadline, or its reply failed.",
			"Report it with the fields of this event and the log of the leader."),

	/** A response could not be written to its caller. */
	FLEET_RESPONSE_LOST(6026, System.Logger.Level.WARNING, "A response could not be written to its caller.",
			"Check the network connections to callers if this repeats."),

	/** The leader failed to decide on a call or to answer it. */
	FLEET_CALL_FAILED(6027, System.Logger.Level.ERROR,
			"The leader failed to decide on a call or to answer it; other calls are not affected.",
			"Report it with the fields of this event."),

	/** A report of a worker is not followed. */
	FLEET_REPORT_IGNORED(6028, System.Logger.Level.WARNING,
			"A report of a worker is not followed, so its sender gets no lease and no work.",
			"If it repeats, check which process sends it under the id or address of the worker."),

	/** A run is taken for lost. */
	FLEET_RUN_GIVEN_UP(6029, System.Logger.Level.INFO,
			"A run is taken for lost for the reason in the cause field, so that its task may start again.",
			"If workers are silent, check them and their network connections."),

	/** The reported end of a run changes nothing. */
	FLEET_END_IGNORED(6030, System.Logger.Level.INFO,
			"The reported end of a run is acknowledged and changes nothing, as the run is not the current one.",
			"If it ended as done, see why it was given up: FLEET_RUN_GIVEN_UP of the same task and run."),

	/** A job is refused for want of memory. */
	FLEET_JOB_REFUSED(6031, System.Logger.Level.WARNING,
			"A job is refused, as the jobs of its client account take more memory than the replicas have for them.",
			"Cancel jobs of the account that are not needed, or give the replicas more memory."),

	/** Jobs that ended long ago leave the state. */
	FLEET_JOBS_FORGOTTEN(6032, System.Logger.Level.INFO,
			"Jobs that ended long ago are removed; calls about them are answered as for unknown jobs.",
			"Nothing to do."),

	/** A worker runs the first task of a job. */
	FLEET_JOB_BEGAN(6033, System.Logger.Level.INFO, "A worker has begun the first task of a job.", "Nothing to do."),

	/** An order to evacuate an availability zone was stored on a quorum. */
	FLEET_ZONE_EVACUATED(6034, System.Logger.Level.WARNING,
			"An order to evacuate an availability zone was stored on a quorum; its workers begin no tasks.",
			"Withdraw the evacuation when the zone may be used again."),

	/** An order to withdraw an evacuation was stored on a quorum. */
	FLEET_EVACUATION_WITHDRAWN(6035, System.Logger.Level.INFO,
			"An order to withdraw the evacuation of an availability zone was stored on a quorum.", "Nothing to do."),

	/** An order about an evacuation was refused. */
	FLEET_EVACUATION_REFUSED(6036, System.Logger.Level.WARNING,
			"An order about the evacuation of an availability zone was refused and changed nothing.",
			"See the reason field: correct the name of the zone, withdraw other evacuations or send the order again."),

	/** Learned run times of a class come into use. */
	FLEET_RUN_TIMES_LEARNED(6037, System.Logger.Level.INFO,
			"The run times of a queue and a client account are forecast from earlier runs, which is more exact.",
			"Nothing to do; the error fields show by which factor each source is off."),

	/** The callers' estimates of a class come into use again. */
	FLEET_RUN_TIMES_DECLARED(6038, System.Logger.Level.INFO,
			"The run times of a queue and a client account are taken from the callers' estimates again.",
			"Nothing to do; the error fields show by which factor each source is off."),

	/** The speed of a worker has changed. */
	FLEET_WORKER_SPEED_CHANGED(6039, System.Logger.Level.INFO,
			"The speed of a worker, relative to the median of the fleet, has changed its class.",
			"If a worker remains SLOW or VERY_SLOW, check it for other load, heat or a faulty device."),

	/** Implausible progress or run times were ignored. */
	FLEET_RUN_TIMES_IGNORED(6040, System.Logger.Level.WARNING,
			"Implausible progress or run times in reports were not used to forecast run times.",
			"Check the worker in the worker field, and its clock."),

	/** A worker of a removed service has no runs any more. */
	FLEET_WORKER_RELEASED(6041, System.Logger.Level.INFO,
			"The last run of a worker has ended whose service the configuration in force lacks; it was removed.",
			"Nothing to do; shut the worker down, or add its service to the configuration again."),

	/** The cancellation of an unknown job is recorded. */
	FLEET_CANCELLATION_RECORDED(6042, System.Logger.Level.INFO,
			"A job was cancelled that is unknown; if its client account submits it later, it is refused.",
			"Nothing to do; the call that submits the job was lost, or is still on its way."),

	/** The cancellation of an unknown job is refused. */
	FLEET_CANCELLATION_REFUSED(6043, System.Logger.Level.WARNING,
			"The cancellation of an unknown job is refused, as its client account has cancelled too many of them.",
			"Find out why the account cancels jobs that it has not submitted."),

	/** A job arrives after its cancellation. */
	FLEET_CANCELLED_JOB_REFUSED(6044, System.Logger.Level.INFO,
			"A job is refused, as its client account cancelled it before it arrived.",
			"Nothing to do; to run the job, submit it under another id."),

	/** Old cancellations of unknown jobs are removed. */
	FLEET_CANCELLATIONS_FORGOTTEN(6045, System.Logger.Level.INFO,
			"Cancellations of unknown jobs that were recorded long ago are removed.", "Nothing to do.");

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
	 * Returns the number of the event, which operators search for and which never
	 * changes.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity of the event.
	 * @return the level
	 */
	public System.Logger.Level level() {
		return this.level;
	}

	/**
	 * Returns the message of the event.
	 * @return one sentence that tells what happened
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns what operators should do about the event.
	 * @return one or two sentences
	 */
	public String remedy() {
		return this.remedy;
	}

}
