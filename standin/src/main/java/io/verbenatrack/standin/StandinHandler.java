package io.verbenatrack.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Handles HTTP calls to stand-in workers and targets.
 */
final class StandinHandler extends Handler.Abstract.NonBlocking {

	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private static final int KIND_SEGMENT = 1;

	private static final int NAME_SEGMENT = 2;

	private final Map<String, StandinWorker> workers;

	private final Map<String, StandinTarget> targets;

	private final WorkDurations durations;

	private final ScheduledExecutorService timer;

	private final ObjectMapper mapper;

	StandinHandler(Map<String, StandinWorker> workers, Map<String, StandinTarget> targets, WorkDurations durations,
			ScheduledExecutorService timer, ObjectMapper mapper) {
		this.workers = workers;
		this.targets = targets;
		this.durations = durations;
		this.timer = timer;
		this.mapper = mapper;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String[] path = Request.getPathInContext(request).split("/");
		Content.Source.asByteBufferAsync(request, MAXIMUM_BODY_BYTES).whenComplete((body, failure) -> {
			if (failure != null) {
				callback.failed(failure);
				return;
			}
			byte[] bytes = BufferUtil.toArray(body);
			if (path[KIND_SEGMENT].equals("workers") && this.workers.containsKey(path[NAME_SEGMENT])) {
				handleWorkerCall(this.workers.get(path[NAME_SEGMENT]), bytes, response, callback);
			}
			else if (path[KIND_SEGMENT].equals("targets") && this.targets.containsKey(path[NAME_SEGMENT])) {
				handleRequest(this.targets.get(path[NAME_SEGMENT]), request, bytes, response, callback);
			}
			else {
				write(response, callback, NOT_FOUND, new byte[0]);
			}
		});
		return true;
	}

	private void handleWorkerCall(StandinWorker worker, byte[] body, Response response, Callback callback) {
		try {
			long highestToken = worker.execute(this.mapper.readValue(body, MemberCall.class));
			byte[] answer = (highestToken != 0)
					? ("{\"highestToken\": " + highestToken + "}").getBytes(StandardCharsets.UTF_8)
					: "{}".getBytes(StandardCharsets.UTF_8);
			write(response, callback, (highestToken != 0) ? CONFLICT : 200, answer);
		}
		catch (Exception ex) {
			callback.failed(ex);
		}
	}

	private void handleRequest(StandinTarget target, Request request, byte[] body, Response response,
			Callback callback) {
		String id = request.getHeaders().get("Verbenatrack-Request-Id");
		response.getHeaders().put("Verbenatrack-Attempt", request.getHeaders().get("Verbenatrack-Attempt"));
		if (!target.tryStart(id)) {
			response.getHeaders().put("Verbenatrack-Not-Begun", "true");
			write(response, callback, UNAVAILABLE, new byte[0]);
			return;
		}
		Duration serviceTime = this.durations.serviceTime(id);
		this.timer.schedule(() -> {
			target.finish();
			byte[] answer = answer(target, id, body);
			response.getHeaders().put("Verbenatrack-Digest", "sha-256=" + digest(answer));
			write(response, callback, 200, answer);
		}, serviceTime.toNanos(), TimeUnit.NANOSECONDS);
	}

	private static byte[] answer(StandinTarget target, String id, byte[] body) {
		return ("{\"request\": \"" + id + "\", \"target\": \"" + target.id() + "\", \"bodyBytes\": " + body.length
				+ "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private static String digest(byte[] answer) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(answer));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void write(Response response, Callback callback, int status, byte[] body) {
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		response.write(true, ByteBuffer.wrap(body), callback);
	}

}
