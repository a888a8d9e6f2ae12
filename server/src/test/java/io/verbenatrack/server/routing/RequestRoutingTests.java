package io.verbenatrack.server.routing;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.routing.BodyDigest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link RequestRouting} with HTTP requests over loopback.
 */
public class RequestRoutingTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(400);

	private static final int LARGE_BODY_BYTES = 5 * 1024 * 1024;

	private FaultyTarget target;

	private RoutingFixture fixture;

	@BeforeMethod
	void start() throws Exception {
		this.target = new FaultyTarget("t-1");
		this.fixture = new RoutingFixture(this.target);
	}

	@AfterMethod(alwaysRun = true)
	void stop() throws Exception {
		this.fixture.close();
		this.target.close();
	}

	@Test
	public void answersWithTheBodyOfTheTarget() throws Exception {
		HttpResponse<byte[]> response = send("r-1", false, TIMEOUT, "nasi lemak");
		assertThat(RoutingFixture.outcome(response)).isEqualTo("answered");
		assertThat(response.body()).isEqualTo(bytes("nasi lemak"));
		assertThat(response.headers().firstValue("Verbenatrack-Target")).hasValue("t-1");
		assertThat(response.headers().firstValue("Content-Type")).hasValue("text/plain");
	}

	@Test
	public void emptyAnswerIsReturned() throws Exception {
		HttpResponse<byte[]> response = send("r-1", false, TIMEOUT, "");
		assertThat(RoutingFixture.outcome(response)).isEqualTo("answered");
		assertThat(response.body()).isEmpty();
	}

	@Test
	public void resendGetsTheStoredAnswerAndRunsOnce() throws Exception {
		HttpResponse<byte[]> first = send("r-1", false, TIMEOUT, "kuih");
		HttpResponse<byte[]> second = send("r-1", false, TIMEOUT, "kuih");
		assertThat(second.body()).isEqualTo(first.body());
		assertThat(second.headers().firstValue("Verbenatrack-Attempt"))
			.isEqualTo(first.headers().firstValue("Verbenatrack-Attempt"));
		assertThat(this.target.executedRequests()).containsExactly("r-1");
	}

	@Test
	public void simultaneousSendsRunOnce() throws Exception {
		this.target.setDelay(Duration.ofMillis(100));
		CompletableFuture<HttpResponse<byte[]>> first = this.fixture
			.sendAsync(this.fixture.request("r-1", false, TIMEOUT, bytes("a")));
		CompletableFuture<HttpResponse<byte[]>> second = this.fixture
			.sendAsync(this.fixture.request("r-1", false, TIMEOUT, bytes("a")));
		assertThat(RoutingFixture.outcome(first.get())).isEqualTo("answered");
		assertThat(RoutingFixture.outcome(second.get())).isEqualTo("answered");
		assertThat(this.target.executedRequests()).containsExactly("r-1");
	}

	@Test
	public void sameIdWithAnotherBodyIsRefused() throws Exception {
		send("r-1", false, TIMEOUT, "a");
		HttpResponse<byte[]> second = send("r-1", false, TIMEOUT, "b");
		assertThat(second.statusCode()).isEqualTo(409);
		assertThat(this.target.executedRequests()).containsExactly("r-1");
	}

	@Test
	public void invalidRequestIdIsRefusedWithItsValue() throws Exception {
		HttpResponse<byte[]> response = this.fixture.send(this.fixture.request("bad id", true, TIMEOUT, bytes("a")));
		assertThat(response.statusCode()).isEqualTo(400);
		assertThat(new String(response.body(), StandardCharsets.UTF_8)).contains("bad id", "remedy");
	}

	@Test
	public void requestWithoutTargetsIsNotRun() throws Exception {
		this.fixture.directory().drain(this.target.spec().id(), System.nanoTime());
		HttpResponse<byte[]> response = send("r-1", false, TIMEOUT, "a");
		assertThat(RoutingFixture.outcome(response)).isEqualTo("not-run");
		assertThat(response.statusCode()).isEqualTo(503);
		assertThat(this.target.executedRequests()).isEmpty();
	}

	@Test
	public void largeAnswersAreStreamed() throws Exception {
		byte[] large = new byte[LARGE_BODY_BYTES];
		new SplittableRandom(RoutingFixture.SEED).nextBytes(large);
		this.target.setAnswer(large);
		assertThat(send("r-1", true, TIMEOUT, "a").body()).isEqualTo(large);
		assertThat(send("r-2", false, TIMEOUT, "a").body()).isEqualTo(large);
	}

	@Test
	public void largeAnswerWithAWrongDigestIsAborted() {
		this.target.setAnswer(new byte[LARGE_BODY_BYTES]);
		this.target.setFault(TargetFault.WRONG_DIGEST);
		assertThatThrownBy(() -> send("r-1", true, TIMEOUT, "a")).isInstanceOf(IOException.class);
	}

	@Test
	public void largeRequestIsStreamedIfItHasADigest() throws Exception {
		byte[] large = new byte[LARGE_BODY_BYTES];
		new SplittableRandom(RoutingFixture.SEED).nextBytes(large);
		this.target.setAnswer(bytes("done"));
		HttpResponse<byte[]> without = this.fixture.send(this.fixture.request("r-1", false, TIMEOUT, large));
		HttpResponse<byte[]> with = this.fixture.send(this.fixture.request("r-2", false, TIMEOUT, large,
				"Verbenatrack-Digest=" + BodyDigest.of(large).header()));
		assertThat(without.statusCode()).isEqualTo(400);
		assertThat(with.body()).isEqualTo(bytes("done"));
		assertThat(this.target.executedRequests()).containsExactly("r-2");
	}

	@Test
	public void silentPooledConnectionsAreReplaced() throws Exception {
		send("r-1", true, TIMEOUT, "a");
		this.target.silenceOpenConnections();
		Awaitility.await().atMost(TIMEOUT).until(() -> this.fixture.routing().counts().silentConnections() > 0);
		HttpResponse<byte[]> response = send("r-2", false, TIMEOUT, "a");
		assertThat(RoutingFixture.outcome(response)).isEqualTo("answered");
	}

	@Test
	public void requestOnASilentConnectionHasAnUnknownOutcome() throws Exception {
		send("r-1", true, TIMEOUT, "a");
		this.target.silenceOpenConnections();
		HttpResponse<byte[]> response = send("r-2", false, SHORT_TIMEOUT, "a");
		assertThat(RoutingFixture.outcome(response)).isEqualTo("unknown");
		assertThat(RoutingFixture.outcome(send("r-3", false, TIMEOUT, "a"))).isEqualTo("answered");
	}

	@Test
	public void drainFinishesRequestsInFlight() throws Exception {
		this.target.setDelay(Duration.ofMillis(300));
		CompletableFuture<HttpResponse<byte[]>> running = this.fixture
			.sendAsync(this.fixture.request("r-1", false, TIMEOUT, bytes("a")));
		Awaitility.await().until(() -> this.target.executedRequests().contains("r-1"));
		CompletableFuture<Void> drained = this.fixture.routing().drain(TIMEOUT);
		HttpResponse<byte[]> duringDrain = send("r-2", true, TIMEOUT, "b");
		assertThat(RoutingFixture.outcome(duringDrain)).isEqualTo("not-run");
		assertThat(RoutingFixture.outcome(running.get())).isEqualTo("answered");
		assertThat(drained).succeedsWithin(TIMEOUT);
		assertThat(this.target.executedRequests()).containsExactly("r-1");
	}

	@Test
	public void requestAbortedAtTheDrainDeadlineHasAnUnknownOutcome() throws Exception {
		this.target.setFault(TargetFault.SILENT);
		CompletableFuture<HttpResponse<byte[]>> running = this.fixture
			.sendAsync(this.fixture.request("r-1", false, TIMEOUT, bytes("a")));
		Awaitility.await().until(() -> this.target.executedRequests().contains("r-1"));
		assertThat(this.fixture.routing().drain(SHORT_TIMEOUT)).succeedsWithin(TIMEOUT);
		assertThat(RoutingFixture.outcome(running.get())).isEqualTo("unknown");
	}

	private HttpResponse<byte[]> send(String id, boolean idempotent, Duration timeout, String body)
			throws IOException, InterruptedException {
		return this.fixture.send(this.fixture.request(id, idempotent, timeout, bytes(body)));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
