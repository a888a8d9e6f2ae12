package io.verbenatrack.server;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.awaitility.Awaitility;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;
import io.verbenatrack.standin.StandinFleet;
import io.verbenatrack.standin.WorkDurations;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Instance} over loopback.
 */
public class InstanceTests {

	private static final String SETTINGS = """
			cluster: test
			instance: entry-1
			region: r
			zone: z
			http: 127.0.0.1:0
			grpc: 127.0.0.1:0
			""";

	private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

	private final Closer closer = new Closer();

	private Instance instance;

	private StandinFleet fleet;

	private HttpClient client;

	@BeforeMethod
	public void start() throws Exception {
		Path data = Files.createTempDirectory("instance-tests");
		Result<InstanceSettings> settings = InstanceSettingsReader.read("instance.yaml",
				SETTINGS.getBytes(StandardCharsets.UTF_8));
		assertThat(settings).isInstanceOf(Result.Success.class);
		InstanceSettings read = ((Result.Success<InstanceSettings>) settings).value();
		this.instance = this.closer.register(Instance.start(read.withData(data)));
		this.fleet = this.closer.register(new StandinFleet(List.of(this.instance.http()), new FixedWork()));
		this.client = new HttpClient();
		this.client.start();
		this.closer.register(this.client::stop);
	}

	@AfterMethod
	public void stop() {
		this.closer.close();
	}

	@Test
	public void jobOverTwoWorkersFinishes() throws Exception {
		this.fleet.addWorker(worker(0));
		this.fleet.addWorker(worker(1));
		String job = """
				{"id": "j", "account": "a", "class": "c", "accelerators": 16, "coresPerAccelerator": 1,
				 "memoryGibPerAccelerator": 1, "runTime": "1s", "checkpointable": true}""";
		Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> declareAccount() == 200);
		assertThat(post("/v1/jobs", job).getStatus()).isEqualTo(202);
		Awaitility.await().atMost(AWAIT_TIMEOUT).untilAsserted(() -> assertThat(outcome("j")).contains("finished"));
	}

	@Test
	public void unknownKeyIsRefusedWithARemedy() throws Exception {
		// Without a configuration the instance answers 503 before it reads a body.
		Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> declareAccount() == 200);
		ContentResponse answer = post("/v1/jobs", "{\"idd\": \"j\"}");
		assertThat(answer.getStatus()).isEqualTo(400);
		assertThat(answer.getContentAsString()).contains("idd").contains("remedy");
	}

	private int declareAccount() throws Exception {
		return this.client.newRequest(uri("/v1/declarations?expectedRevision=0&changeId=c-1"))
			.method(HttpMethod.PUT)
			.body(new StringRequestContent("application/json",
					"{\"accounts\": [{\"id\": \"a\", \"weight\": 1, \"degradeOrder\": 0, \"guarantees\": []}]}"))
			.send()
			.getStatus();
	}

	private String outcome(String job) throws Exception {
		return this.client.GET(uri("/v1/jobs/" + job)).getContentAsString();
	}

	private ContentResponse post(String path, String body) throws Exception {
		return this.client.newRequest(uri(path))
			.method(HttpMethod.POST)
			.body(new StringRequestContent("application/json", body))
			.send();
	}

	private URI uri(String path) {
		return this.instance.http().resolve(path);
	}

	private static WorkerSpec worker(int position) {
		return new WorkerSpec(new WorkerId("w-" + position), new ZoneId("z"), new RackId("rack"), position, 64, 256, 8);
	}

	private static final class FixedWork implements WorkDurations {

		@Override
		public Duration runTime(String job, Duration declared) {
			return Duration.ofMillis(20);
		}

		@Override
		public Duration serviceTime(String request) {
			return Duration.ofMillis(1);
		}

	}

}
