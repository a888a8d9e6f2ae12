package io.verbenatrack.bench.process;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends requests and jobs, and retries at a random instance after a failure.
 */
final class RetryingCaller {

	private static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final Duration RETRY_TIMEOUT = Duration.ofSeconds(25);

	private static final long RETRY_PAUSE_MILLIS = 50;

	private static final int ACCEPTED = 202;

	private final HttpClient client;

	private final List<URI> entries;

	private final SplittableRandom random;

	RetryingCaller(HttpClient client, List<URI> entries, long seed) {
		this.client = client;
		this.entries = entries;
		this.random = new SplittableRandom(seed);
	}

	ReportedOutcome sendUntilAnswered(String id, boolean idempotent) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + RETRY_TIMEOUT.toNanos();
		ReportedOutcome last = new ReportedOutcome(id, idempotent, ReportedOutcome.UNKNOWN, "");
		boolean first = true;
		while (System.nanoTime() < deadlineNanos && !last.outcome().equals(ReportedOutcome.ANSWERED)) {
			ReportedOutcome current = send(id, idempotent, first);
			first = false;
			// A not-run outcome covers only the last send. An earlier send whose response
			// was lost may have run.
			boolean lastWasLost = last.outcome().equals(ReportedOutcome.UNKNOWN) && last.body().equals("lost");
			last = (lastWasLost && current.outcome().equals(ReportedOutcome.NOT_RUN)) ? last : current;
			if (!current.outcome().equals(ReportedOutcome.ANSWERED)) {
				TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
			}
		}
		return last;
	}

	private ReportedOutcome send(String id, boolean idempotent, boolean first) throws InterruptedException {
		Request request = this.client.newRequest(randomEntry().resolve("/v1/requests/jalan"))
			.method(HttpMethod.POST)
			.timeout(TIMEOUT.plusSeconds(1).toMillis(), TimeUnit.MILLISECONDS)
			.headers((headers) -> headers.put("Verbenatrack-Request-Id", id)
				.put("Verbenatrack-Account", "a")
				.put("Verbenatrack-Idempotent", String.valueOf(idempotent))
				.put("Verbenatrack-First-Send", String.valueOf(first))
				.put("Verbenatrack-Timeout-Ms", TIMEOUT.toMillis()))
			.body(new StringRequestContent("plan"));
		try {
			ContentResponse answer = request.send();
			String outcome = answer.getHeaders().get("Verbenatrack-Outcome");
			return new ReportedOutcome(id, idempotent, (outcome != null) ? outcome : ReportedOutcome.NOT_RUN,
					answer.getContentAsString());
		}
		catch (TimeoutException | ExecutionException ex) {
			return new ReportedOutcome(id, idempotent, ReportedOutcome.UNKNOWN, "lost");
		}
	}

	boolean submit(String id, int accelerators) throws InterruptedException {
		String body = "{\"id\": \"" + id + "\", \"account\": \"a\", \"class\": \"c\", \"accelerators\": " + accelerators
				+ ", \"coresPerAccelerator\": 1, \"memoryGibPerAccelerator\": 1, \"runTime\": \"300ms\", "
				+ "\"checkpointable\": true}";
		long deadlineNanos = System.nanoTime() + RETRY_TIMEOUT.toNanos();
		while (System.nanoTime() < deadlineNanos) {
			if (status(HttpMethod.POST, "/v1/jobs", body) == ACCEPTED) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
		}
		return false;
	}

	boolean hasOutcome(String job) throws InterruptedException {
		return fetch("/v1/jobs/" + job).contains("\"outcome\":\"finished\"");
	}

	String fetch(String path) throws InterruptedException {
		try {
			return this.client.newRequest(randomEntry().resolve(path))
				.timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
				.send()
				.getContentAsString();
		}
		catch (TimeoutException | ExecutionException ex) {
			return "no answer: " + ex;
		}
	}

	int declare() throws InterruptedException {
		return status(HttpMethod.PUT, "/v1/declarations?expectedRevision=0&changeId=process-test",
				"{\"accounts\": [{\"id\": \"a\", \"weight\": 1, \"degradeOrder\": 0, \"guarantees\": []}]}");
	}

	private int status(HttpMethod method, String path, String body) throws InterruptedException {
		try {
			return this.client.newRequest(randomEntry().resolve(path))
				.method(method)
				.timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
				.body(new StringRequestContent("application/json", body))
				.send()
				.getStatus();
		}
		catch (TimeoutException | ExecutionException ex) {
			return 0;
		}
	}

	private synchronized URI randomEntry() {
		return this.entries.get(this.random.nextInt(this.entries.size()));
	}

}
