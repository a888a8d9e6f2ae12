package io.verbenatrack.fleet.model;

import java.util.List;
import java.util.Set;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.ZoneId;

/**
 * The state of a worker as it reports it in a heartbeat.
 *
 * @param life the incarnation of the worker
 * @param address the address on which the worker listens
 * @param service the service whose tasks it runs
 * @param zone the availability zone of the worker
 * @param rack the rack of the worker
 * @param labels the labels of the worker
 * @param room the total resources of the worker
 * @param draining whether the worker is about to leave and should get no new runs
 * @param stayMillis the minimum time that a draining worker stays, in milliseconds
 * @param sequence the sequence number, which increases with each report of an incarnation
 * @param running the runs in progress
 * @param ended the runs whose end has not been acknowledged yet
 */
public record WorkerReport(WorkerIncarnation life, String address, ServiceId service, ZoneId zone, String rack,
		Set<String> labels, Resources room, boolean draining, long stayMillis, long sequence, List<ReportedRun> running,
		List<ReportedEnd> ended) {

	public WorkerReport {
		labels = Set.copyOf(labels);
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

}
