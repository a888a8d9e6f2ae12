package io.verbenatrack.cli.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the evacuations of availability zones that concern a job: those of the zones of
 * its workers while it runs, and all that are in force while it waits for capacity.
 */
final class Evacuations {

	private static final String EVACUATED = "FLEET_ZONE_EVACUATED";

	private static final String WITHDRAWN = "FLEET_EVACUATION_WITHDRAWN";

	private final Map<String, String> zoneByWorker = new HashMap<>();

	private final List<LogLine> orders = new ArrayList<>();

	/**
	 * Takes a log line if it concerns evacuations or tells the zone of a worker.
	 * @param line the line
	 */
	void add(LogLine line) {
		if (line.name().equals("FLEET_WORKER_JOINED")) {
			this.zoneByWorker.put(line.text("worker"), line.text("zone"));
		}
		else if (line.name().equals(EVACUATED) || line.name().equals(WITHDRAWN)) {
			this.orders.add(line);
		}
	}

	/**
	 * Returns the orders that concern a job.
	 * @param matching the lines that name the job
	 * @param first the start of the period
	 * @param last the end of the period
	 * @return the orders in the period, and earlier ones that are in force at its start
	 */
	List<LogLine> concerning(List<LogLine> matching, Instant first, Instant last) {
		Set<String> zones = new HashSet<>();
		boolean waited = false;
		for (LogLine line : matching) {
			zones.add(this.zoneByWorker.getOrDefault(line.text("worker"), ""));
			waited |= line.name().equals("FLEET_JOB_WAITS");
		}
		Map<String, LogLine> inForce = new HashMap<>();
		List<LogLine> concerning = new ArrayList<>();
		this.orders.sort(LogLine.BY_TIME);
		for (LogLine order : this.orders) {
			boolean concerns = (waited || zones.contains(order.text("zone"))) && !order.time().isAfter(last);
			if (concerns && order.time().isBefore(first)) {
				inForce.put(order.text("zone"), order);
			}
			else if (concerns) {
				concerning.add(order);
			}
		}
		inForce.values().stream().filter((order) -> order.name().equals(EVACUATED)).forEach(concerning::add);
		return concerning;
	}

}
