package io.verbenatrack.cli.local;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.settings.DurationFormat;
import io.verbenatrack.settings.WorkPlan;

/**
 * The HTTP client of a local run. Submits jobs and requests as a caller, and applies
 * declarations and reads views as an operator.
 */
final class LocalClient implements AutoCloseable {

	private static final int ACCEPTED = 202;

	private static final int MAXIMUM_CONNECTIONS = 256;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final URI instance;

	private final HttpClient client = new HttpClient();

	private final ObjectMapper mapper = new ObjectMapper();

	LocalClient(URI instance) throws Exception {
		this.instance = instance;
		this.client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
		this.client.setMaxRequestsQueuedPerDestination(Integer.MAX_VALUE);
		this.client.start();
	}

	int applyDeclarations(Declarations declarations) throws Exception {
		return request("/v1/declarations?expectedRevision=0&changeId=local&operator=local").method(HttpMethod.PUT)
			.body(json(DeclarationsJson.write(declarations)))
			.send()
			.getStatus();
	}

	boolean isReady() throws Exception {
		return this.client.GET(this.instance.resolve("/readyz")).getStatus() == 200;
	}

	JsonNode view(String name) throws Exception {
		return body(this.client.GET(this.instance.resolve("/v1/views/" + name)));
	}

	CompletableFuture<Boolean> submit(JobSpec job, Duration runTime) {
		String urgency = (job.urgency() != Urgency.URGENT) ? "normal" : "urgent";
		String body = "{\"id\": \"" + job.id() + "\", \"account\": \"" + job.account() + "\", \"class\": \""
				+ job.jobClass() + "\", \"accelerators\": " + job.shape().accelerators() + ", \"coresPerAccelerator\": "
				+ job.shape().coresPerAccelerator() + ", \"memoryGibPerAccelerator\": "
				+ job.shape().memoryGibPerAccelerator() + ", \"runTime\": \"" + DurationFormat.format(runTime)
				+ "\", \"urgency\": \"" + urgency + "\", \"checkpointable\": " + job.checkpointable() + "}";
		CompletableFuture<Boolean> accepted = new CompletableFuture<>();
		request("/v1/jobs").method(HttpMethod.POST)
			.body(json(body))
			.send((result) -> accepted.complete(result.isSucceeded() && result.getResponse().getStatus() == ACCEPTED));
		return accepted;
	}

	CompletableFuture<String> send(WorkPlan.PlannedRequest planned) {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.client.newRequest(this.instance.resolve("/v1/requests/" + planned.service()))
			.method(HttpMethod.POST)
			.headers((headers) -> headers.put("Verbenatrack-Request-Id", planned.id().value())
				.put("Verbenatrack-Account", planned.account().value())
				.put("Verbenatrack-Idempotent", String.valueOf(planned.idempotent()))
				.put("Verbenatrack-Timeout-Ms", planned.timeout().toMillis()))
			.body(new BytesRequestContent(new byte[planned.bodyBytes()]))
			.timeout(planned.timeout().plus(TIMEOUT).toMillis(), TimeUnit.MILLISECONDS)
			.send((result) -> outcome.complete(outcome(result)));
		return outcome;
	}

	private static String outcome(Result result) {
		String reported = result.isFailed() ? null : result.getResponse().getHeaders().get("Verbenatrack-Outcome");
		return (reported != null) ? reported : "unknown";
	}

	private Request request(String path) {
		return this.client.newRequest(this.instance.resolve(path)).timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static BytesRequestContent json(String text) {
		return new BytesRequestContent("application/json", text.getBytes(StandardCharsets.UTF_8));
	}

	private JsonNode body(ContentResponse response) throws IOException {
		return this.mapper.readTree(response.getContent());
	}

	@Override
	public void close() throws Exception {
		this.client.stop();
	}

}
