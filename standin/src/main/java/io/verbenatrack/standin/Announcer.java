package io.verbenatrack.standin;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends announcements and reports to an instance, and switches to the next instance after
 * a failure.
 */
final class Announcer {

	private static final Duration TIMEOUT = Duration.ofSeconds(6);

	private static final int OK = 200;

	private final HttpClient client;

	private final ObjectMapper mapper;

	private final List<URI> instanceUris;

	private final AtomicInteger currentIndex = new AtomicInteger();

	Announcer(HttpClient client, ObjectMapper mapper, List<URI> instanceUris) {
		this.client = client;
		this.mapper = mapper;
		this.instanceUris = List.copyOf(instanceUris);
	}

	CompletableFuture<Boolean> post(String path, Object body) {
		CompletableFuture<Boolean> accepted = new CompletableFuture<>();
		int index = this.currentIndex.get();
		URI instanceUri = this.instanceUris.get(Math.floorMod(index, this.instanceUris.size()));
		this.client.newRequest(instanceUri.resolve(path))
			.method(HttpMethod.POST)
			.timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.body(new BytesRequestContent("application/json", toJson(body)))
			.send((result) -> {
				boolean ok = result.isSucceeded() && result.getResponse().getStatus() == OK;
				if (!ok) {
					this.currentIndex.compareAndSet(index, index + 1);
				}
				accepted.complete(ok);
			});
		return accepted;
	}

	void sendReports(StandinWorker worker) {
		List<MemberReportBody> reports = worker.takeBatch();
		if (!reports.isEmpty()) {
			post("/v1/workers/" + worker.spec().id() + "/reports", new ReportsBody(reports))
				.thenAccept(worker::endBatch);
		}
	}

	private byte[] toJson(Object body) {
		try {
			return this.mapper.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private record ReportsBody(List<MemberReportBody> reports) {

	}

}
