package io.verbenatrack.telemetry;

import java.util.List;

/**
 * The metrics that the system exposes; docs/METRICS.md is generated from here.
 *
 * <p>
 * Names, labels and units must not change, because existing dashboards depend on them; a
 * test compares them with a golden file. Run tools/generate-docs after a change here.
 */
public enum MetricName {

	/** Requests that ended, by outcome: answered, not-run or unknown. */
	REQUESTS(Type.COUNTER, "verbenatrack.requests", "",
			"Requests that ended, by outcome: answered, not-run or unknown.", "service", "outcome"),

	/** Time from a request's arrival to its outcome. */
	REQUEST_TIME(Type.TIMER, "verbenatrack.request.time", "seconds", "Time from a request's arrival to its outcome.",
			"service"),

	/** Dispatches of requests after the first one. */
	REQUEST_RETRIES(Type.COUNTER, "verbenatrack.request.retries", "",
			"Further dispatches of a request after its first.", "service"),

	/** Requests that have no outcome yet. */
	REQUESTS_IN_FLIGHT(Type.GAUGE, "verbenatrack.requests.in.flight", "", "Requests that have no outcome yet."),

	/** Requests that wait for a target. */
	REQUESTS_QUEUED(Type.GAUGE, "verbenatrack.requests.queued", "", "Requests that wait for a target."),

	/** Answers that match no attempt, or fail the length or digest check. */
	STALE_ANSWERS(Type.COUNTER, "verbenatrack.stale.answers", "",
			"Answers that matched no attempt, or failed the length or digest check.", "service"),

	/** Targets that hold a valid lease. */
	TARGETS(Type.GAUGE, "verbenatrack.targets", "", "Targets whose lease is in force.", "service"),

	/** Connections replaced because they did not reply. */
	SILENT_CONNECTIONS(Type.COUNTER, "verbenatrack.silent.connections", "",
			"Connections replaced since they gave no reply.", "service"),

	/** Jobs accepted. */
	JOBS_SUBMITTED(Type.COUNTER, "verbenatrack.jobs.submitted", "", "Jobs accepted.", "account"),

	/** Jobs that ended: finished, refused or cancelled. */
	JOBS_ENDED(Type.COUNTER, "verbenatrack.jobs.ended", "", "Jobs that ended: finished, refused or cancelled.",
			"account", "outcome"),

	/** Jobs by phase. */
	JOBS(Type.GAUGE, "verbenatrack.jobs", "", "Jobs by phase.", "phase"),

	/** Time from a job's acceptance to the start of its gang. */
	JOB_WAIT_TIME(Type.TIMER, "verbenatrack.job.wait.time", "seconds",
			"Time from a job's acceptance to the start of its gang.", "urgency"),

	/** Time from a job's acceptance to its outcome. */
	JOB_COMPLETION_TIME(Type.TIMER, "verbenatrack.job.completion.time", "seconds",
			"Time from a job's acceptance to its outcome.", "account"),

	/** Gangs whose members all started. */
	GANGS_STARTED(Type.COUNTER, "verbenatrack.gangs.started", "", "Gangs whose members all started."),

	/** Gangs stopped to free accelerators for a guarantee. */
	GANGS_RECLAIMED(Type.COUNTER, "verbenatrack.gangs.reclaimed", "", "Gangs stopped to honour a guarantee."),

	/**
	 * Share of free accelerators that the largest waiting guaranteed shape cannot use.
	 */
	FRAGMENTATION(Type.GAUGE, "verbenatrack.fragmentation", "ratio",
			"Share of free accelerators that the largest waiting guaranteed shape cannot use."),

	/** Accelerators by state: free, busy or quarantined. */
	ACCELERATORS(Type.GAUGE, "verbenatrack.accelerators", "", "Accelerators by state: free, busy or quarantined.",
			"state"),

	/** Workers by phase. */
	WORKERS(Type.GAUGE, "verbenatrack.workers", "", "Workers by phase.", "phase"),

	/** Calls to workers: prepare, start, checkpoint or stop. */
	WORKER_CALLS(Type.COUNTER, "verbenatrack.worker.calls", "", "Calls to workers: prepare, start, checkpoint or stop.",
			"action", "result"),

	/** Calls refused, by kind of problem. */
	REFUSALS(Type.COUNTER, "verbenatrack.refusals", "", "Calls refused, by kind of problem.", "kind"),

	/** The revision of the declarations that this instance applies. */
	CONFIGURATION_REVISION(Type.GAUGE, "verbenatrack.configuration.revision", "",
			"The revision of the declarations in force on this instance."),

	/** Time until this instance stops admitting work. */
	CONFIGURATION_LEASE_LEFT(Type.GAUGE, "verbenatrack.configuration.lease.left", "seconds",
			"Time until this instance stops admitting work."),

	/** The term of the control log. */
	CONTROL_TERM(Type.GAUGE, "verbenatrack.control.term", "", "The term of the control log."),

	/** 1 if this instance is the leader of the control log, otherwise 0. */
	CONTROL_LEADER(Type.GAUGE, "verbenatrack.control.leader", "",
			"1 while this instance leads the control log, else 0."),

	/** 1 if a thread of the replica failed, otherwise 0. */
	CONTROL_HALTED(Type.GAUGE, "verbenatrack.control.halted", "",
			"1 once a thread of this replica failed, so that it takes no further part, else 0."),

	/** Time from a proposal to its commit. */
	CONTROL_COMMIT_TIME(Type.TIMER, "verbenatrack.control.commit.time", "seconds",
			"Time from a proposal to its commit."),

	/** Size of the control log on disk. */
	CONTROL_LOG_BYTES(Type.GAUGE, "verbenatrack.control.log", "bytes", "Size of the control log on disk."),

	/** Bytes sent to other instances. */
	CONTROL_SENT_BYTES(Type.COUNTER, "verbenatrack.control.sent", "bytes", "Bytes sent to other instances."),

	/** Items queued in a ring buffer between two threads. */
	RING_LENGTH(Type.GAUGE, "verbenatrack.ring.length", "", "Items that wait in a ring between two threads.", "ring"),

	/** Items rejected because a ring buffer was full. */
	RING_REFUSALS(Type.COUNTER, "verbenatrack.ring.refusals", "", "Items refused since a ring was full.", "ring"),

	/** Calls of callers, workers and operators to the fleet, by kind and reply. */
	FLEET_CALLS(Type.COUNTER, "verbenatrack.fleet.calls", "",
			"Calls of callers, workers and operators to the fleet, by kind and reply.", "call", "reply"),

	/** Calls that have no reply yet. */
	FLEET_CALLS_OPEN(Type.GAUGE, "verbenatrack.fleet.calls.open", "",
			"Calls received that have no reply yet; a floor that rises shows calls that are never answered."),

	/** Time from a call's arrival at this instance to its reply. */
	FLEET_CALL_TIME(Type.HISTOGRAM, "verbenatrack.fleet.call.time", "seconds",
			"Time from a call's arrival at this instance to its reply.", "call"),

	/** Duration of one iteration of the fleet leader's loop, including commits. */
	FLEET_TURN_TIME(Type.HISTOGRAM, "verbenatrack.fleet.turn.time", "seconds",
			"Time of a turn of the fleet's leader, commits included."),

	/** Committed decisions of the fleet leader, by kind. */
	FLEET_DECISIONS(Type.COUNTER, "verbenatrack.fleet.decisions", "",
			"Committed decisions of the fleet's leader, by kind.", "decision"),

	/** Reports of workers that are not followed, by reason. */
	FLEET_REPORTS_IGNORED(Type.COUNTER, "verbenatrack.fleet.reports.ignored", "",
			"Reports of workers that are not followed, by reason.", "reason"),

	/** Runs taken for lost, by cause. */
	FLEET_RUNS_GIVEN_UP(Type.COUNTER, "verbenatrack.fleet.runs.given.up", "",
			"Runs taken for lost, so that their tasks may start again, by cause.", "cause"),

	/** Reported ends of runs that are not the current ones, by outcome. */
	FLEET_ENDS_IGNORED(Type.COUNTER, "verbenatrack.fleet.ends.ignored", "",
			"Reported ends of runs that are not the current ones of their tasks, by outcome.", "outcome"),

	/** 1 while a zone is evacuated, otherwise 0, by zone. */
	FLEET_ZONES_EVACUATED(Type.GAUGE, "verbenatrack.fleet.zones.evacuated", "",
			"1 while an availability zone is evacuated, else 0, by zone.", "zone"),

	/** Changes of the expected run times of a class or the speed of a worker. */
	FLEET_FORECAST_CHANGES(Type.COUNTER, "verbenatrack.fleet.forecast.changes", "",
			"Changes of the expected run times of a class or the speed of a worker, by kind: learned, declared or speed.",
			"kind"),

	/** Implausible values in reports that were not used for forecasts. */
	FLEET_FORECAST_VALUES_IGNORED(Type.COUNTER, "verbenatrack.fleet.forecast.values.ignored", "",
			"Implausible progress or run times in reports that were not used for forecasts."),

	/** Runs that were preempted. */
	FLEET_RUNS_PREEMPTED(Type.COUNTER, "verbenatrack.fleet.runs.preempted", "",
			"Runs that were preempted, by whether the step that starts is within a guarantee.", "guaranteed"),

	/** Work discarded by preemption; a core counts as an eighth of an accelerator. */
	FLEET_WORK_LOST(Type.COUNTER, "verbenatrack.fleet.work.lost", "seconds",
			"Accelerator seconds discarded by preemption, by whether the step that starts is within a guarantee.",
			"guaranteed");

	private final Type type;

	private final String meterName;

	private final String unit;

	private final String description;

	private final List<String> labels;

	MetricName(Type type, String meterName, String unit, String description, String... labels) {
		this.type = type;
		this.meterName = meterName;
		this.unit = unit;
		this.description = description;
		this.labels = List.of(labels);
	}

	/**
	 * Returns the type of the metric.
	 * @return the type
	 */
	public Type type() {
		return this.type;
	}

	/**
	 * Returns the name of the meter, with words separated by dots.
	 * @return the name
	 */
	public String meterName() {
		return this.meterName;
	}

	/**
	 * Returns the unit of the values.
	 * @return the unit, empty for counts
	 */
	public String unit() {
		return this.unit;
	}

	/**
	 * Returns the description of the metric.
	 * @return one sentence that tells what the metric measures
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the names of the labels.
	 * @return the names, in the order in which label values are passed
	 */
	public List<String> labels() {
		return this.labels;
	}

	/**
	 * The type of a metric.
	 */
	public enum Type {

		/** A value that only increases. */
		COUNTER,

		/** A value that can increase and decrease. */
		GAUGE,

		/** The count and sum of durations. */
		TIMER,

		/** The count and sum of durations, with counts per bucket. */
		HISTOGRAM

	}

}
