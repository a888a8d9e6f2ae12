package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** HTTP calls of clients, operators and executors. */
final class Http {

	private static final int MAX_REDIRECTS = 2;

	private static final int TEMPORARY_REDIRECT = 307;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	/** The status and body of an answer; status 0 if there was none. */
	record Answer(int status, String body) {

		boolean success() {
			return this.status >= 200 && this.status < 300;
		}

	}

	/** Makes a call and follows redirects twice. */
	Answer call(String method, String address, String path, Map<String, String> headers, String body,
			Duration timeout) {
		String url = "http://" + address + path;
		try {
			for (int redirects = 0;; redirects++) {
				HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(timeout);
				headers.forEach(request::header);
				request.method(method, (body != null) ? HttpRequest.BodyPublishers.ofString(body)
						: HttpRequest.BodyPublishers.noBody());
				HttpResponse<String> response = this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
				if (response.statusCode() != TEMPORARY_REDIRECT || redirects == MAX_REDIRECTS) {
					return new Answer(response.statusCode(), response.body());
				}
				url = response.headers().firstValue("Location").orElseThrow();
			}
		}
		catch (IOException ex) {
			return new Answer(0, ex.toString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, "interrupted");
		}
	}

}
