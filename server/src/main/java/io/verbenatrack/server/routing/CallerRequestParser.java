package io.verbenatrack.server.routing;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.routing.BodyDigest;

/**
 * Parses the head of a caller's request.
 */
final class CallerRequestParser {

	static final String PATH_PREFIX = "/v1/requests/";

	private static final byte[] NO_BODY = new byte[0];

	private final RequestLimits limits;

	private final InstantSource clock;

	private final MonotonicClock monotonic;

	CallerRequestParser(RequestLimits limits, InstantSource clock, MonotonicClock monotonic) {
		this.limits = limits;
		this.clock = clock;
		this.monotonic = monotonic;
	}

	Result<CallerRequest> parse(Request request) {
		try {
			return parseHead(request, request.getHeaders());
		}
		catch (IllegalArgumentException ex) {
			return Result.failure(ProblemKind.INVALID, "The head of the request is not valid: " + ex.getMessage(),
					"Correct the named part and send it again.");
		}
	}

	private Result<CallerRequest> parseHead(Request request, HttpFields headers) {
		long bytes = request.getLength();
		Optional<BodyDigest> digest = BodyDigest.parse(headers.get(RequestHeaders.DIGEST));
		boolean streamed = bytes > this.limits.bufferedBytes();
		if (bytes > this.limits.maximumBytes()) {
			return Result.failure(ProblemKind.TOO_LARGE, "The body has " + bytes + " bytes.",
					"Send at most " + this.limits.maximumBytes() + " bytes.");
		}
		if (streamed && digest.isEmpty()) {
			return Result.failure(ProblemKind.INVALID, "The body is large and has no digest.",
					"Send " + RequestHeaders.DIGEST + ": sha-256=<hex of the body> with bodies over "
							+ this.limits.bufferedBytes() + " bytes.");
		}
		Duration timeout = timeout(headers);
		RequestSpec spec = new RequestSpec(new RequestId(required(headers, RequestHeaders.REQUEST_ID)),
				new ServiceId(request.getHttpURI().getDecodedPath().substring(PATH_PREFIX.length())),
				new AccountId(required(headers, RequestHeaders.ACCOUNT)), flag(headers, RequestHeaders.IDEMPOTENT),
				this.clock.instant().plus(timeout));
		return Result.success(new CallerRequest(spec, this.monotonic.nanoTime() + timeout.toNanos(),
				flag(headers, RequestHeaders.FIRST_SEND), text(headers, HttpHeader.CONTENT_TYPE.asString()),
				text(headers, RequestHeaders.TRACE_PARENT), NO_BODY, digest.orElse(null), streamed ? bytes : 0));
	}

	private Duration timeout(HttpFields headers) {
		String text = required(headers, RequestHeaders.TIMEOUT_MS);
		long millis = (text.matches("[0-9]{1,11}")) ? Long.parseLong(text) : 0;
		if (millis < 1 || millis > this.limits.maximumTimeout().toMillis()) {
			throw new IllegalArgumentException(RequestHeaders.TIMEOUT_MS + " is '" + text + "'. Give 1 to "
					+ this.limits.maximumTimeout().toMillis() + " milliseconds.");
		}
		return Duration.ofMillis(millis);
	}

	private static boolean flag(HttpFields headers, String name) {
		String value = text(headers, name);
		return switch (value) {
			case "true" -> true;
			case "", "false" -> false;
			default -> throw new IllegalArgumentException(name + " is '" + value + "'. Give true or false.");
		};
	}

	private static String required(HttpFields headers, String name) {
		HttpField field = headers.getField(name);
		if (field == null || field.getValue() == null) {
			throw new IllegalArgumentException("There is no " + name + ". Send it.");
		}
		return field.getValue();
	}

	private static String text(HttpFields headers, String name) {
		String value = headers.get(name);
		return (value != null) ? value : "";
	}

}
