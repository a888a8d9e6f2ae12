package io.verbenatrack.standin;

import java.net.URI;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.WorkerSpec;

/**
 * Hosts stand-in workers and targets on one loopback port and announces them to the
 * instances.
 */
public final class StandinFleet implements AutoCloseable {

	private static final Duration TARGET_ANNOUNCE_INTERVAL = Duration.ofMillis(500);

	private static final Duration WORKER_ANNOUNCE_INTERVAL = Duration.ofSeconds(2);

	private static final Duration REPORT_INTERVAL = Duration.ofMillis(5);

	private static final int TIMER_THREADS = 2;

	private static final int HTTP_THREADS = 24;

	private final Closer closer = new Closer();

	private final Map<String, StandinWorker> workers = new ConcurrentHashMap<>();

	private final Map<String, StandinTarget> targets = new ConcurrentHashMap<>();

	private final ObjectMapper mapper = new ObjectMapper();

	private final String incarnation = UUID.randomUUID().toString();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

	private final WorkDurations durations;

	private final ServerConnector connector;

	private final Announcer announcer;

	/**
	 * Starts an empty fleet.
	 * @param instanceUris the HTTP addresses of the instances, in order of preference
	 * @param durations the actual durations of work
	 * @throws Exception when the HTTP server or client cannot start
	 */
	public StandinFleet(List<URI> instanceUris, WorkDurations durations) throws Exception {
		this.durations = durations;
		QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
		threads.setName("standin");
		Server server = new Server(threads);
		this.connector = new ServerConnector(server, 1, 1);
		this.connector.setHost("127.0.0.1");
		server.addConnector(this.connector);
		server.setHandler(new StandinHandler(this.workers, this.targets, durations, this.timer, this.mapper));
		HttpClient client = new HttpClient();
		client.setMaxConnectionsPerDestination(64);
		server.start();
		client.start();
		this.closer.register(server::stop);
		this.closer.register(client::stop);
		this.closer.register(this.timer::shutdownNow);
		this.announcer = new Announcer(client, this.mapper, instanceUris);
		scheduleRepeating(WORKER_ANNOUNCE_INTERVAL, this::announceWorkers);
		scheduleRepeating(TARGET_ANNOUNCE_INTERVAL, this::announceTargets);
		scheduleRepeating(REPORT_INTERVAL, this::sendReports);
	}

	private void scheduleRepeating(Duration interval, Runnable action) {
		this.timer.scheduleWithFixedDelay(action, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	private String url() {
		return "http://127.0.0.1:" + this.connector.getLocalPort();
	}

	/**
	 * Adds a worker and announces it.
	 * @param spec the announced properties of the worker
	 * @return the worker
	 */
	public StandinWorker addWorker(WorkerSpec spec) {
		StandinWorker worker = new StandinWorker(spec, this.durations, this.timer, MonotonicClock.system());
		this.workers.put(spec.id().value(), worker);
		announce(worker);
		return worker;
	}

	/**
	 * Adds a target and announces it.
	 * @param target the target
	 */
	public void addTarget(StandinTarget target) {
		this.targets.put(target.id(), target);
		announce(target);
	}

	/**
	 * Returns the targets.
	 * @return all registered ones
	 */
	public Collection<StandinTarget> targets() {
		return this.targets.values();
	}

	/**
	 * Returns the workers.
	 * @return all registered ones
	 */
	public Collection<StandinWorker> workers() {
		return this.workers.values();
	}

	private void announceWorkers() {
		this.workers.values().forEach(this::announce);
	}

	private void announce(StandinWorker worker) {
		WorkerSpec spec = worker.spec();
		this.announcer.post("/v1/workers",
				new WorkerAnnouncement(spec.id().value(), spec.zone().value(), spec.rack().value(),
						spec.positionInRack(), spec.cores(), spec.memoryGib(), spec.accelerators(),
						url() + "/workers/" + spec.id(), this.incarnation));
	}

	private void announceTargets() {
		this.targets.values().forEach(this::announce);
	}

	private void announce(StandinTarget target) {
		this.announcer.post("/v1/targets", target.announcement(url() + "/targets/" + target.id()));
	}

	private void sendReports() {
		this.workers.values().forEach((worker) -> this.announcer.sendReports(worker));
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private record WorkerAnnouncement(String id, String zone, String rack, int positionInRack, int cores, int memoryGib,
			int accelerators, String url, String incarnation) {

	}

}
