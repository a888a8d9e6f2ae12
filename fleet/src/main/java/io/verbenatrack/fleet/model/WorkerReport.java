package io.verbenatrack.fleet.model;

import java.util.List;
import java.util.Set;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.ZoneId;

/**
 * What a worker says of itself in a heartbeat.
 *
 * @param life which life of which worker
 * @param address where the worker listens
 * @param service whose tasks it runs
 * @param zone its availability zone
 * @param rack its rack
 * @param labels all its labels
 * @param room its whole room
 * @param draining whether it is about to leave
 * @param stayMillis how long a draining worker stays at least
 * @param sequence grows with each report of one life
 * @param running what runs on it
 * @param ended what ended on it and was not taken note of yet
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
