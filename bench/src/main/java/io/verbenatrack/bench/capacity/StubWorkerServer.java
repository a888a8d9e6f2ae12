package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server that stands in for the workers: it accepts every call and never sends a
 * report.
 */
final class StubWorkerServer implements AutoCloseable {

	private static final int OK = 200;

	private static final byte[] EMPTY_JSON_OBJECT = { '{', '}' };

	private final HttpServer server;

	StubWorkerServer() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", StubWorkerServer::answer);
		this.server.start();
	}

	private static void answer(HttpExchange exchange) throws IOException {
		try (exchange) {
			exchange.getRequestBody().readAllBytes();
			exchange.sendResponseHeaders(OK, EMPTY_JSON_OBJECT.length);
			exchange.getResponseBody().write(EMPTY_JSON_OBJECT);
		}
	}

	String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
