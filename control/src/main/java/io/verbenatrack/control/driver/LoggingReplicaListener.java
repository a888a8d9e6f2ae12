package io.verbenatrack.control.driver;

import io.verbenatrack.control.replica.ReplicaNotice;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Writes the notices of a replica to the event log.
 */
public final class LoggingReplicaListener implements ReplicaListener {

	private final EventLog events;

	/**
	 * Creates a listener.
	 * @param events the event log
	 */
	public LoggingReplicaListener(EventLog events) {
		this.events = events;
	}

	@Override
	public void onNotice(ReplicaNotice notice, String detail) {
		this.events.write(event(notice), new EventLog.Field("detail", detail));
	}

	private static LogEvent event(ReplicaNotice notice) {
		return switch (notice) {
			case FORMED -> LogEvent.CLUSTER_FORMED;
			case LEADING -> LogEvent.LEADERSHIP_BEGAN;
			case STEPPED_DOWN -> LogEvent.LEADERSHIP_ENDED;
			case OTHER_CLUSTER -> LogEvent.OTHER_CLUSTER_HEARD;
			case REPLACING -> LogEvent.REPLICA_REPLACED;
			case JOINED -> LogEvent.REPLICA_JOINED;
			case LEARNER_BEHIND -> LogEvent.LEARNER_BEHIND;
			case REMOVED -> LogEvent.REPLICA_REMOVED;
			case TURNED_AWAY -> LogEvent.REPLICA_TURNED_AWAY;
			case COMPACTED -> LogEvent.LOG_COMPACTED;
			case MEMBERSHIP -> LogEvent.MEMBERSHIP_CHANGED;
			case DISK_FAILED -> LogEvent.DISK_FAILED;
		};
	}

}
