package io.verbenatrack.bench.capacity;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Connection;

import io.verbenatrack.model.Closer;

/**
 * Sends HTTP calls to one instance at a constant rate, and measures traffic and CPU time.
 */
final class InstanceLoadGenerator implements AutoCloseable {

	private static final int CONNECTIONS = 64;

	private static final long TIMEOUT_SECONDS = 10;

	private static final int FIRST_NON_SUCCESS_STATUS = 300;

	private static final long POLL_MILLIS = 5;

	private final ConnectionBytes connections = new ConnectionBytes();

	private final Closer closer = new Closer();

	private final HttpClient client = new HttpClient();

	private final AtomicLong failures = new AtomicLong();

	private final InstanceProcess instance;

	InstanceLoadGenerator(InstanceProcess instance) throws Exception {
		this.instance = instance;
		this.client.setMaxConnectionsPerDestination(CONNECTIONS);
		this.client.setMaxRequestsQueuedPerDestination(Integer.MAX_VALUE);
		this.client.addBean(this.connections);
		this.client.start();
		this.closer.register(this.client::stop);
	}

	void awaitReady() throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3 * TIMEOUT_SECONDS);
		while (this.client.GET(this.instance.http().resolve("/readyz")).getStatus() >= FIRST_NON_SUCCESS_STATUS) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException(
						this.instance.http() + " was not ready within 30 s. Check the log of the instance.");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	int put(String path, String body) throws Exception {
		return request(path, HttpMethod.PUT, body).send().getStatus();
	}

	int post(String path, String body) throws Exception {
		return request(path, HttpMethod.POST, body).send().getStatus();
	}

	private Request request(String path, HttpMethod method, String body) {
		URI uri = this.instance.http().resolve(path);
		return this.client.newRequest(uri)
			.method(method)
			.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.body(new BytesRequestContent("application/json", body.getBytes(StandardCharsets.UTF_8)));
	}

	// Sends the calls at even intervals over the duration and waits for all responses.
	Load sendCalls(int calls, long nanos, IntFunction<Call> call) throws Exception {
		long failuresBefore = this.failures.get();
		long bytesBefore = this.connections.total();
		long cpuNanosBefore = ProcessUsage.cpuNanos(this.instance.pid());
		long startNanos = System.nanoTime();
		Semaphore responses = new Semaphore(0);
		for (int i = 0; i < calls; i++) {
			sleepUntil(startNanos + nanos * i / calls);
			send(call.apply(i), responses);
		}
		sleepUntil(startNanos + nanos);
		responses.acquire(calls);
		long elapsedNanos = System.nanoTime() - startNanos;
		return new Load(calls, elapsedNanos, ProcessUsage.cpuNanos(this.instance.pid()) - cpuNanosBefore,
				this.connections.total() - bytesBefore, this.failures.get() - failuresBefore);
	}

	private void send(Call call, Semaphore responses) {
		request(call.path(), HttpMethod.POST, call.body()).send((result) -> {
			if (result.isFailed() || result.getResponse().getStatus() >= FIRST_NON_SUCCESS_STATUS) {
				this.failures.incrementAndGet();
			}
			responses.release();
		});
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		long left = nanos - System.nanoTime();
		if (left > 0) {
			TimeUnit.NANOSECONDS.sleep(left);
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/** Sums the bytes of open and closed connections. */
	private static final class ConnectionBytes implements Connection.Listener {

		private final Set<Connection> open = ConcurrentHashMap.newKeySet();

		private final AtomicLong closed = new AtomicLong();

		@Override
		public void onOpened(Connection connection) {
			this.open.add(connection);
		}

		@Override
		public void onClosed(Connection connection) {
			this.open.remove(connection);
			this.closed.addAndGet(transferredBytes(connection));
		}

		long total() {
			return this.closed.get() + this.open.stream().mapToLong(ConnectionBytes::transferredBytes).sum();
		}

		private static long transferredBytes(Connection connection) {
			return connection.getBytesIn() + connection.getBytesOut();
		}

	}

	/**
	 * One call to an instance.
	 *
	 * @param path the request path
	 * @param body the JSON body
	 */
	record Call(String path, String body) {

	}

	/**
	 * Cost of a series of calls to the instance.
	 *
	 * @param calls the number of calls
	 * @param nanos the elapsed time in nanoseconds
	 * @param cpuNanos the CPU time of the instance during that time, in nanoseconds
	 * @param bytes the bytes sent and received, without TCP and IP headers
	 * @param failures the number of calls without a 2xx response
	 */
	record Load(int calls, long nanos, long cpuNanos, long bytes, long failures) {

		double corePercent() {
			return 100.0 * this.cpuNanos / this.nanos;
		}

		double kilobytesPerSecond() {
			return this.bytes * 1e6 / this.nanos;
		}

		double cpuMicrosPerCall() {
			return this.cpuNanos / 1e3 / this.calls;
		}

		double bytesPerCall() {
			return (double) this.bytes / this.calls;
		}

	}

}
