package io.verbenatrack.cli;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.commons.cli.CommandLine;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.settings.SocketAddress;

/**
 * Calls the instances in turn until one gives a conclusive answer.
 *
 * <p>
 * Every call either carries an id chosen by the caller or only reads, so sending it to
 * the next instance after a lost answer is safe.
 */
final class InstanceClient implements AutoCloseable {

	private static final String INSTANCES_VARIABLE = "VERBENATRACK_INSTANCES";

	private static final String DEFAULT_INSTANCES = "127.0.0.1:8080";

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);

	private static final int UNAVAILABLE = ProblemKind.UNAVAILABLE.httpStatus();

	private static final int UNKNOWN_OUTCOME = ProblemKind.UNKNOWN_OUTCOME.httpStatus();

	private final List<SocketAddress> instances;

	private final HttpClient client = new HttpClient();

	private final Duration answerTimeout;

	InstanceClient(List<SocketAddress> instances, Duration answerTimeout) {
		this.instances = List.copyOf(instances);
		this.answerTimeout = answerTimeout;
		this.client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
		try {
			this.client.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException("The HTTP client did not start.", ex);
		}
	}

	/**
	 * Creates a client for the instances given by the options of a command.
	 * @param line the parsed options
	 * @return the client
	 * @throws UsageException when an address is invalid
	 */
	static InstanceClient of(CommandLine line) throws UsageException {
		String fallback = Optional.ofNullable(System.getenv(INSTANCES_VARIABLE)).orElse(DEFAULT_INSTANCES);
		List<SocketAddress> instances = new ArrayList<>();
		for (String text : line.getOptionValue(CommandOptions.INSTANCES, fallback).split(",", -1)) {
			Optional<SocketAddress> address = SocketAddress.parse(text.strip());
			instances.add(address.filter((parsed) -> parsed.port() > 0)
				.orElseThrow(() -> new UsageException("The instance '" + text + "' is not an address.",
						"Give host:port, several separated by commas, such as 10.0.0.1:8080,10.0.0.2:8080.")));
		}
		return new InstanceClient(instances, ANSWER_TIMEOUT);
	}

	/**
	 * Sends a call to the instances in turn.
	 * @param call the call
	 * @return the outcome of the call
	 */
	InstanceReply send(InstanceCall call) {
		Optional<InstanceReply.Answered> inconclusive = Optional.empty();
		boolean outcomeUnknown = false;
		for (SocketAddress instance : this.instances) {
			InstanceReply reply = send(instance, call);
			if (reply instanceof InstanceReply.Answered answered) {
				if (answered.status() != UNAVAILABLE && answered.status() != UNKNOWN_OUTCOME) {
					return answered;
				}
				outcomeUnknown = outcomeUnknown || answered.status() == UNKNOWN_OUTCOME;
				inconclusive = Optional.of(answered);
			}
			outcomeUnknown = outcomeUnknown || reply instanceof InstanceReply.Lost;
		}
		if (outcomeUnknown && call.mutating()) {
			return new InstanceReply.Lost(new Problem(ProblemKind.UNKNOWN_OUTCOME,
					"No answer came from " + instanceList() + ", and the change may be in force.",
					"Send the same command again with the same id; a resend is harmless."));
		}
		if (inconclusive.isPresent()) {
			return inconclusive.get();
		}
		return new InstanceReply.Unreachable(
				new Problem(ProblemKind.UNAVAILABLE, "No instance answered at " + instanceList() + ".",
						"Check that they run, and the list given by --instances."));
	}

	private InstanceReply send(SocketAddress instance, InstanceCall call) {
		Request request = this.client.newRequest("http://" + instance + call.path())
			.method(call.method())
			.timeout(this.answerTimeout.toMillis(), TimeUnit.MILLISECONDS);
		if (!call.body().isEmpty()) {
			request.body(new StringRequestContent("application/json", call.body()));
		}
		try {
			ContentResponse response = request.send();
			return new InstanceReply.Answered(response.getStatus(), response.getContentAsString());
		}
		catch (ExecutionException ex) {
			return failure(instance, connectionFailed(ex.getCause()));
		}
		catch (TimeoutException ex) {
			return failure(instance, false);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return failure(instance, false);
		}
	}

	private static InstanceReply failure(SocketAddress instance, boolean connectionFailed) {
		Problem problem = new Problem(ProblemKind.UNAVAILABLE, "No answer from " + instance + ".", "Try another.");
		return connectionFailed ? new InstanceReply.Unreachable(problem) : new InstanceReply.Lost(problem);
	}

	private static boolean connectionFailed(Throwable cause) {
		return cause instanceof ConnectException || cause instanceof UnknownHostException
				|| cause instanceof UnresolvedAddressException || cause instanceof SocketTimeoutException;
	}

	private String instanceList() {
		return String.join(", ", this.instances.stream().map(SocketAddress::toString).toList());
	}

	@Override
	public void close() {
		try {
			this.client.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("The HTTP client did not stop.", ex);
		}
	}

}
