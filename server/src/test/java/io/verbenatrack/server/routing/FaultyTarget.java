package io.verbenatrack.server.routing;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.TargetSpec;

/**
 * A simulated target on a real socket that injects faults and records the requests it
 * executed.
 */
final class FaultyTarget implements AutoCloseable {

	private static final int SLOTS = 8;

	private static final int CONNECTIONS = 64;

	private final ServerSocket listener;

	private final Set<Socket> responsiveSockets = ConcurrentHashMap.newKeySet();

	private final List<String> executedRequests = new CopyOnWriteArrayList<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final TargetId id;

	private volatile TargetFault fault = TargetFault.NONE;

	private volatile Duration delay = Duration.ZERO;

	private volatile byte[] answer;

	FaultyTarget(String id) throws IOException {
		this.id = new TargetId(id);
		this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	TargetSpec spec() {
		return new TargetSpec(this.id, new ServiceId("jalan"), new ZoneId("shah-alam"),
				"http://127.0.0.1:" + this.listener.getLocalPort(), SLOTS, CONNECTIONS);
	}

	void setFault(TargetFault next) {
		this.fault = next;
	}

	void setDelay(Duration delay) {
		this.delay = delay;
	}

	void setAnswer(byte[] body) {
		this.answer = body;
	}

	/** Makes every open connection stop responding; new connections work. */
	void silenceOpenConnections() {
		this.responsiveSockets.clear();
	}

	List<String> executedRequests() {
		return List.copyOf(this.executedRequests);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.responsiveSockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			while (exchange(socket, input)) {
				socket.getOutputStream().flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The peer closed the connection, or the target was closed.
		}
	}

	private boolean exchange(Socket socket, InputStream input) throws IOException, InterruptedException {
		String requestLine = readLine(input);
		if (requestLine.isEmpty()) {
			return false;
		}
		Map<String, String> headers = readHeaders(input);
		if (!this.responsiveSockets.contains(socket)) {
			this.closed.await();
			return false;
		}
		if (requestLine.startsWith("HEAD")) {
			socket.getOutputStream().write(ascii("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
			return true;
		}
		return answer(socket, input, headers);
	}

	private boolean answer(Socket socket, InputStream input, Map<String, String> headers)
			throws IOException, InterruptedException {
		TargetFault currentFault = this.fault;
		String attempt = headers.get("verbenatrack-attempt");
		if (currentFault == TargetFault.RESET_BEFORE_BODY) {
			socket.setSoLinger(true, 0);
			return false;
		}
		byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		OutputStream output = socket.getOutputStream();
		if (currentFault == TargetFault.NOT_BEGUN) {
			output.write(ascii("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nVerbenatrack-Attempt: " + attempt
					+ "\r\nVerbenatrack-Not-Begun: true\r\n\r\n"));
			return true;
		}
		this.executedRequests.add(headers.get("verbenatrack-request-id"));
		TimeUnit.NANOSECONDS.sleep(this.delay.toNanos());
		byte[] reply = (this.answer != null) ? this.answer : body;
		return reply(currentFault, socket, attempt, reply);
	}

	private boolean reply(TargetFault currentFault, Socket socket, String attempt, byte[] reply)
			throws IOException, InterruptedException {
		OutputStream output = socket.getOutputStream();
		byte[] half = Arrays.copyOf(reply, reply.length / 2);
		switch (currentFault) {
			case SILENT -> this.closed.await();
			case RESET_AFTER_RUN -> socket.setSoLinger(true, 0);
			case GARBAGE -> output.write(ascii("\u0001\u0002 not a protocol at all\r\n\r\n"));
			case ERROR_STATUS -> output.write(ascii("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"));
			case CUT_SHORT, HALF_THEN_RESET -> output.write(join(head(attempt, reply, reply.length), half));
			case TOO_LONG -> output.write(join(head(attempt, reply, reply.length / 2), reply));
			case WRONG_DIGEST -> output.write(join(head(attempt, half, reply.length), reply));
			case CROSSED -> output.write(join(head("other-" + attempt, reply, reply.length), reply));
			case DOUBLED -> {
				output.write(join(head(attempt, reply, reply.length), reply));
				output.write(join(head(attempt, reply, reply.length), reply));
			}
			case HALF_THEN_SILENT -> {
				output.write(join(head(attempt, reply, reply.length), half));
				this.closed.await();
			}
			default -> output.write(join(head(attempt, reply, reply.length), reply));
		}
		if (currentFault == TargetFault.HALF_THEN_RESET) {
			socket.setSoLinger(true, 0);
		}
		return currentFault == TargetFault.NONE || currentFault == TargetFault.SLOW
				|| currentFault == TargetFault.DOUBLED || currentFault == TargetFault.WRONG_DIGEST
				|| currentFault == TargetFault.CROSSED;
	}

	private static byte[] head(String attempt, byte[] digested, int length) {
		return ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + length
				+ "\r\nVerbenatrack-Attempt: " + attempt + "\r\nVerbenatrack-Digest: "
				+ BodyDigest.of(digested).header() + "\r\n\r\n");
	}

	private static byte[] join(byte[] first, byte[] second) {
		byte[] joined = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, joined, first.length, second.length);
		return joined;
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static Map<String, String> readHeaders(InputStream input) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		String line = readLine(input);
		while (!line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			line = readLine(input);
		}
		return headers;
	}

	private static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = input.read();
		while (next >= 0 && next != '\n') {
			line.write(next);
			next = input.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1).strip();
	}

	@Override
	public void close() throws IOException {
		this.closed.countDown();
		this.listener.close();
		for (Socket socket : this.responsiveSockets) {
			socket.close();
		}
	}

}
