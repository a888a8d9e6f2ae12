package io.verbenatrack.server.routing;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.TargetSpec;

/**
 * A pool of connections to targets that reuses only connections with a recent reply.
 * <p>
 * An idle connection is probed before its last reply is too old, and closed if there is
 * no reply, so that connections with a lost network path do not fill the pool.
 */
final class TargetConnectionPool implements AutoCloseable {

	private static final long PROBE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long REUSABLE_WITHIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1800);

	private static final long PROBE_TIMEOUT_MILLIS = 500;

	private static final long MAXIMUM_AGE_NANOS = TimeUnit.MINUTES.toNanos(5);

	private final HttpClient client;

	private final MonotonicClock clock;

	private final Map<String, Deque<TargetConnection>> idle = new ConcurrentHashMap<>();

	private final AtomicInteger silentConnections = new AtomicInteger();

	TargetConnectionPool(HttpClient client, MonotonicClock clock) {
		this.client = client;
		this.clock = clock;
	}

	/**
	 * Acquires an idle connection with a recent reply, or opens a new one.
	 * @param target the target to connect to
	 * @return a future of the connection in state busy, which fails if none can be opened
	 */
	CompletableFuture<TargetConnection> acquire(TargetSpec target) {
		TargetConnection pooled = acquireIdle(target.url());
		if (pooled != null) {
			return CompletableFuture.completedFuture(pooled);
		}
		return this.client.resolveDestination(request(target.url())).newConnection().thenApply(this::onOpened);
	}

	private TargetConnection acquireIdle(String url) {
		Deque<TargetConnection> pool = pool(url);
		synchronized (pool) {
			TargetConnection candidate = pool.pollFirst();
			while (candidate != null) {
				boolean usable = !candidate.connection().isClosed()
						&& candidate.silentNanos(this.clock.nanoTime()) < REUSABLE_WITHIN_NANOS;
				if (usable && candidate.transition("taken")) {
					return candidate;
				}
				candidate.transition("failed");
				candidate = pool.pollFirst();
			}
			return null;
		}
	}

	private TargetConnection onOpened(Connection connection) {
		TargetConnection opened = new TargetConnection(connection, this.clock.nanoTime());
		opened.transition("opened");
		opened.transition("taken");
		return opened;
	}

	private Request request(String url) {
		return this.client.newRequest(URI.create(url));
	}

	private Deque<TargetConnection> pool(String url) {
		return this.idle.computeIfAbsent(url, (key) -> new ArrayDeque<>());
	}

	/**
	 * Returns a connection to the pool after a complete reply.
	 * @param target the target of the connection
	 * @param connection the connection
	 */
	void release(TargetSpec target, TargetConnection connection) {
		if (connection.recordReply(this.clock.nanoTime())) {
			putIdle(target.url(), connection);
		}
	}

	private void putIdle(String url, TargetConnection connection) {
		Deque<TargetConnection> pool = pool(url);
		synchronized (pool) {
			pool.addFirst(connection);
		}
	}

	/**
	 * Closes all idle connections to a target after one of its connections stopped
	 * responding.
	 * @param url the base URL of the target
	 */
	void closeIdle(String url) {
		this.silentConnections.incrementAndGet();
		removeAllIdle(url).forEach((connection) -> connection.transition("failed"));
	}

	private List<TargetConnection> removeAllIdle(String url) {
		Deque<TargetConnection> pool = pool(url);
		synchronized (pool) {
			List<TargetConnection> removed = new ArrayList<>(pool);
			pool.clear();
			return removed;
		}
	}

	/** Probes idle connections and closes old ones. */
	void maintain() {
		long now = this.clock.nanoTime();
		for (Map.Entry<String, Deque<TargetConnection>> pool : this.idle.entrySet()) {
			for (TargetConnection connection : removeDue(pool.getValue(), now)) {
				probe(pool.getKey(), connection);
			}
		}
		this.idle.values().removeIf((pool) -> {
			synchronized (pool) {
				return pool.isEmpty();
			}
		});
	}

	private static List<TargetConnection> removeDue(Deque<TargetConnection> pool, long now) {
		synchronized (pool) {
			pool.removeIf((connection) -> connection.connection().isClosed()
					|| (connection.ageNanos(now) > MAXIMUM_AGE_NANOS && connection.transition("aged")));
			List<TargetConnection> due = pool.stream()
				.filter((connection) -> connection.silentNanos(now) > PROBE_AFTER_NANOS)
				.toList();
			pool.removeAll(due);
			return due;
		}
	}

	// Any reply suffices, whatever its status: it proves that the network path works in
	// both directions.
	private void probe(String url, TargetConnection connection) {
		if (!connection.transition("probe-sent")) {
			return;
		}
		Request probe = request(url).method(HttpMethod.HEAD)
			.path("/")
			.timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		connection.connection().send(probe, (result) -> {
			if (result.isSucceeded() && connection.recordReply(this.clock.nanoTime())) {
				putIdle(url, connection);
			}
			else if (connection.transition("reply-missing")) {
				this.silentConnections.incrementAndGet();
			}
		});
	}

	int silentConnections() {
		return this.silentConnections.get();
	}

	int idleCount(String url) {
		Deque<TargetConnection> pool = pool(url);
		synchronized (pool) {
			return pool.size();
		}
	}

	@Override
	public void close() {
		List.copyOf(this.idle.keySet())
			.forEach((url) -> removeAllIdle(url).forEach((connection) -> connection.transition("failed")));
	}

}
