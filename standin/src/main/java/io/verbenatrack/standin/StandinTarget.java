package io.verbenatrack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in target: its announced properties and the requests that it executed.
 */
public final class StandinTarget {

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final int connections;

	private final AtomicInteger running = new AtomicInteger();

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	/**
	 * Creates an idle target.
	 * @param id the identifier of the target
	 * @param service the service that it provides
	 * @param zone its availability zone
	 * @param slots the maximum number of concurrent requests
	 * @param connections the maximum number of connections
	 */
	public StandinTarget(String id, String service, String zone, int slots, int connections) {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.connections = connections;
	}

	/**
	 * Returns the identifier of this target.
	 * @return the identifier
	 */
	public String id() {
		return this.id;
	}

	boolean tryStart(String request) {
		if (this.running.incrementAndGet() > this.slots) {
			this.running.decrementAndGet();
			return false;
		}
		this.runs.computeIfAbsent(request, (key) -> new AtomicInteger()).incrementAndGet();
		return true;
	}

	void finish() {
		this.running.decrementAndGet();
	}

	/**
	 * Returns how many times this target executed a request.
	 * @param request the identifier of the request
	 * @return the count
	 */
	public int runs(String request) {
		AtomicInteger count = this.runs.get(request);
		return (count != null) ? count.get() : 0;
	}

	TargetAnnouncement announcement(String url) {
		return new TargetAnnouncement(this.id, this.service, this.zone, url, this.slots, this.connections,
				this.running.get());
	}

	record TargetAnnouncement(String id, String service, String zone, String url, int slots, int connections,
			int load) {

	}

}
