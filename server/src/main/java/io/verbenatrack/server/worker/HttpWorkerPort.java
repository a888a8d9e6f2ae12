package io.verbenatrack.server.worker;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

import io.verbenatrack.server.http.ApiJsonCodec;
import io.verbenatrack.server.leader.MemberAction;
import io.verbenatrack.server.leader.WorkerPort;

/**
 * Sends actions to workers over HTTP.
 */
public final class HttpWorkerPort implements WorkerPort {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final int HTTP_OK = 200;

	private static final int HTTP_CONFLICT = 409;

	private final HttpClient client;

	private final ApiJsonCodec jsonCodec;

	private final Duration lease;

	/**
	 * Creates the port.
	 * @param client the HTTP client
	 * @param jsonCodec encodes the bodies
	 * @param lease the duration of the lease that members run under
	 */
	public HttpWorkerPort(HttpClient client, ApiJsonCodec jsonCodec, Duration lease) {
		this.client = client;
		this.jsonCodec = jsonCodec;
		this.lease = lease;
	}

	@Override
	public CompletableFuture<Delivery> send(String url, MemberAction action) {
		CompletableFuture<Delivery> delivery = new CompletableFuture<>();
		MemberBody body = new MemberBody(action.job().value(), action.token().value(),
				action.kind().name().toLowerCase(Locale.ROOT), action.slot().firstAccelerator(),
				action.slot().accelerators(), this.lease.toMillis(), action.runTime().toMillis(),
				action.grace().toMillis());
		this.client.newRequest(url + "/v1/members")
			.method(HttpMethod.POST)
			.timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.body(new BytesRequestContent("application/json", this.jsonCodec.write(body)))
			.send((result) -> delivery.complete(delivery(result)));
		return delivery;
	}

	private static Delivery delivery(Result result) {
		if (result.isFailed()) {
			return Delivery.UNKNOWN;
		}
		return switch (result.getResponse().getStatus()) {
			case HTTP_OK -> Delivery.TAKEN;
			case HTTP_CONFLICT -> Delivery.FENCED;
			default -> Delivery.UNKNOWN;
		};
	}

	private record MemberBody(String job, long token, String action, int firstAccelerator, int accelerators,
			long leaseMs, long runTimeMs, long graceMs) {

	}

}
