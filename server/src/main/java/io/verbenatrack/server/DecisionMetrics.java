package io.verbenatrack.server;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.server.leader.SchedulingListener;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.MetricName;
import io.verbenatrack.telemetry.Metrics;

/**
 * Updates metrics and the event log for the committed decisions that the leading replica
 * carries out.
 */
final class DecisionMetrics implements SchedulingListener {

	/**
	 * The account label of jobs that an earlier leader accepted; this leader did not see
	 * their submission.
	 */
	private static final String UNKNOWN_ACCOUNT = "unknown";

	private final Metrics metrics;

	private final EventLog events;

	private final Map<JobId, AccountId> accounts = new HashMap<>();

	DecisionMetrics(Metrics metrics, EventLog events) {
		this.metrics = metrics;
		this.events = events;
	}

	@Override
	public void onDecision(SchedulingDecision decision) {
		switch (decision) {
			case SchedulingDecision.AcceptJob accept -> {
				this.accounts.put(accept.job().id(), accept.job().account());
				this.metrics.counter(MetricName.JOBS_SUBMITTED, accept.job().account().value()).increment();
			}
			case SchedulingDecision.StartGang start -> this.metrics.counter(MetricName.GANGS_STARTED).increment();
			case SchedulingDecision.CheckpointGang checkpoint -> {
				this.metrics.counter(MetricName.GANGS_RECLAIMED).increment();
				this.events.write(LogEvent.GANG_RECLAIMED, new EventLog.Field("job", checkpoint.job()),
						new EventLog.Field("reason", checkpoint.reason()));
			}
			case SchedulingDecision.EndJob end -> recordEnd(end);
			case SchedulingDecision.AdmitWorker admit ->
				this.events.write(LogEvent.WORKER_ANNOUNCED, new EventLog.Field("worker", admit.worker().id()));
			case SchedulingDecision.RemoveWorker remove ->
				this.events.write(LogEvent.WORKER_LOST, new EventLog.Field("worker", remove.worker()));
			case SchedulingDecision.QuarantineWorker quarantine -> this.events.write(LogEvent.WORKER_QUARANTINED,
					new EventLog.Field("worker", quarantine.worker()), new EventLog.Field("until", quarantine.until()));
			case SchedulingDecision.ReportShortGuarantee shortage ->
				this.events.write(LogEvent.GUARANTEE_SHORT, new EventLog.Field("account", shortage.account()),
						new EventLog.Field("missing", shortage.missing()));
			default -> {
				// The views show the effects of all other decisions.
			}
		}
	}

	@Override
	public void onFailure(RuntimeException failure) {
		this.events.write(LogEvent.THREAD_FAILED, new EventLog.Field("thread", Thread.currentThread().getName()),
				new EventLog.Field("failure", failure), new EventLog.Field("at", List.of(failure.getStackTrace())));
	}

	private void recordEnd(SchedulingDecision.EndJob end) {
		String outcome = end.outcome().getClass().getSimpleName().toLowerCase(Locale.ROOT);
		AccountId account = this.accounts.remove(end.job());
		String label = (account != null) ? account.value() : UNKNOWN_ACCOUNT;
		this.metrics.counter(MetricName.JOBS_ENDED, label, outcome).increment();
		if (end.outcome() instanceof JobOutcome.Refused refused) {
			this.events.write(LogEvent.JOB_REFUSED, new EventLog.Field("job", end.job()),
					new EventLog.Field("reason", refused.reason()));
		}
	}

}
