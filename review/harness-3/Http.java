import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.Map;

/** Calls with a time-out. A call without an answer has status 0. */
final class Http {

	private static final int MAX_REDIRECTS = 2;

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(3))
		.followRedirects(HttpClient.Redirect.NEVER)
		.build();

	private Http() {
	}

	static Answer call(String method, String address, String path, Map<String, String> headers, String body,
			long timeoutMillis) {
		String uri = "http://" + address + path;
		Answer answer = null;
		for (int redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
			answer = once(method, uri, headers, body, timeoutMillis);
			if (answer.status() != 307 || answer.location().isEmpty()) {
				return answer;
			}
			uri = answer.location();
		}
		return answer;
	}

	private static Answer once(String method, String uri, Map<String, String> headers, String body,
			long timeoutMillis) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri))
			.timeout(Duration.ofMillis(timeoutMillis))
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body));
		if (!body.isEmpty()) {
			request.header("Content-Type", "application/json");
		}
		headers.forEach(request::header);
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new Answer(response.statusCode(), response.body(),
					response.headers().firstValue("Location").orElse(""));
		}
		catch (HttpTimeoutException ex) {
			return new Answer(0, "no answer in time", "");
		}
		catch (ConnectException ex) {
			return new Answer(0, "no connection", "");
		}
		catch (IOException ex) {
			return new Answer(0, "connection broken", "");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, "interrupted", "");
		}
	}

	record Answer(int status, String body, String location) {

		boolean ok() {
			return this.status >= 200 && this.status < 300;
		}

		@Override
		public String toString() {
			return (this.status == 0) ? this.body : this.status + " " + this.body;
		}

	}

}
