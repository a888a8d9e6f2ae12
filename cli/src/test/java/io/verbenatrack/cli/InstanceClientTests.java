package io.verbenatrack.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link InstanceClient} through the commands that use it.
 */
public class InstanceClientTests {

	private final List<HttpServer> servers = new ArrayList<>();

	private final List<String> received = Collections.synchronizedList(new ArrayList<>());

	@AfterMethod
	public void stopServers() {
		this.servers.forEach((server) -> server.stop(0));
		this.servers.clear();
		this.received.clear();
	}

	@Test
	public void anAnswerOfTheFirstInstanceIsPrinted() throws IOException {
		CommandLineRun run = status(serverAnswering(200, "{\"id\":\"j\",\"state\":\"running\",\"outcome\":null}"));
		assertThat(run.code()).isEqualTo(ExitCode.DONE);
		assertThat(run.out()).isEqualTo("id: j\nstate: running\noutcome: -\n");
	}

	@Test
	public void jsonIsPrintedUnchanged() throws IOException {
		String address = serverAnswering(200, "{\"fragmentation\":0.5,\"workers\":[]}");
		CommandLineRun run = CommandLineRun.of("view", "fleet", "--output", "json", "--instances", address);
		assertThat(run.out()).isEqualTo("{\"fragmentation\":0.5,\"workers\":[]}\n");
		assertThat(this.received).containsExactly("GET /v1/views/fleet ");
	}

	@Test
	public void aListIsPrintedAsATable() throws IOException {
		String address = serverAnswering(200, "{\"jobs\":[{\"job\":{\"id\":\"j-1\"},\"phase\":\"waiting\"}]}");
		CommandLineRun run = CommandLineRun.of("view", "jobs", "--instances", address);
		assertThat(run.out()).isEqualTo("jobs:\n  job.id  phase\n  j-1     waiting\n");
	}

	@Test
	public void theNextInstanceIsTriedWhenOneIsDown() throws IOException {
		assertThat(status(closedPort() + "," + serverAnswering(200, "{}")).code()).isEqualTo(ExitCode.DONE);
	}

	@Test
	public void theNextInstanceIsTriedWhenOneIsNotAvailable() throws IOException {
		String both = serverAnswering(503, "{\"message\":\"m\"}") + "," + serverAnswering(200, "{}");
		assertThat(status(both).code()).isEqualTo(ExitCode.DONE);
		assertThat(this.received).hasSize(2);
	}

	@Test
	public void aRefusalPrintsItsRemedyAndIsNotRetried() throws IOException {
		String both = serverAnswering(409, "{\"message\":\"Change c-6 won.\",\"remedy\":\"Read it.\"}") + ","
				+ serverAnswering(200, "{}");
		CommandLineRun run = status(both);
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.err()).contains("Change c-6 won.").contains("Read it.");
		assertThat(this.received).hasSize(1);
	}

	@Test
	public void aChangeThatReachesNoInstanceIsUnreachable() throws IOException {
		CommandLineRun run = cancel(closedPort() + "," + closedPort());
		assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(run.err()).contains("No instance answered").doesNotContain("Exception");
	}

	@Test
	public void aLostAnswerToAChangeIsUnknown() throws IOException {
		CommandLineRun run = cancel(serverDroppingAnswers() + "," + closedPort());
		assertThat(run.code()).isEqualTo(ExitCode.UNKNOWN);
		assertThat(run.err()).contains("may be in force").contains("a resend is harmless");
	}

	@Test
	public void aCallWithALostAnswerIsSentToTheNextInstance() throws IOException {
		assertThat(cancel(serverDroppingAnswers() + "," + serverAnswering(200, "{}")).code()).isEqualTo(ExitCode.DONE);
		assertThat(this.received).containsExactly("DELETE /v1/jobs/j ", "DELETE /v1/jobs/j ");
	}

	@Test
	public void aLostAnswerToAReadIsUnreachable() throws IOException {
		assertThat(status(serverDroppingAnswers()).code()).isEqualTo(ExitCode.UNREACHABLE);
	}

	@Test
	public void anUnknownOutcomeIsPropagated() throws IOException {
		assertThat(cancel(serverAnswering(504, "{\"message\":\"m\"}")).code()).isEqualTo(ExitCode.UNKNOWN);
	}

	@Test
	public void submitSendsTheJobInTheApiFormat() throws IOException {
		CommandLineRun run = CommandLineRun.of("submit", "--job", "j", "--account", "a", "--class", "c",
				"--accelerators", "16", "--run-time", "90m", "--urgent", "--instances", serverAnswering(202, "{}"));
		assertThat(run.code()).as(run.err()).isEqualTo(ExitCode.DONE);
		assertThat(this.received).containsExactly("POST /v1/jobs {\"id\":\"j\",\"account\":\"a\",\"class\":\"c\","
				+ "\"accelerators\":16,\"coresPerAccelerator\":0,\"memoryGibPerAccelerator\":0,\"runTime\":\"90m\","
				+ "\"urgency\":\"urgent\",\"checkpointable\":true}");
	}

	@Test
	public void applySendsTheWholeRevision() throws IOException {
		CommandLineRun run = CommandLineRun.of("apply", "--declarations",
				CommandLineRun.root().resolve("examples/hamid/declarations").toString(), "--expected-revision", "3",
				"--change-id", "c-7", "--instances", serverAnswering(200, "{\"epoch\":1,\"revision\":4}"));
		assertThat(run.out()).isEqualTo("epoch: 1\nrevision: 4\n");
		assertThat(this.received).singleElement()
			.asString()
			.startsWith("PUT /v1/declarations?expectedRevision=3&changeId=c-7 {\"defaults\":{");
	}

	private static CommandLineRun status(String instances) {
		return CommandLineRun.of("status", "--job", "j", "--instances", instances);
	}

	private static CommandLineRun cancel(String instances) {
		return CommandLineRun.of("cancel", "--job", "j", "--instances", instances);
	}

	private String serverAnswering(int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		return serve((exchange) -> {
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		});
	}

	private String serverDroppingAnswers() throws IOException {
		return serve((exchange) -> {
		});
	}

	private String serve(ExchangeAction action) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		server.createContext("/", (exchange) -> {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			this.received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
			action.run(exchange);
			exchange.close();
		});
		server.start();
		this.servers.add(server);
		return "127.0.0.1:" + server.getAddress().getPort();
	}

	private static String closedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	/**
	 * How a fake instance handles a call.
	 */
	private interface ExchangeAction {

		void run(HttpExchange exchange) throws IOException;

	}

}
