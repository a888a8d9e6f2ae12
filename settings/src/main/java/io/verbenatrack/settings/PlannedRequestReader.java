package io.verbenatrack.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.ServiceId;

/**
 * Reads the requests of a work file: streams of requests generated from the seed, and
 * requests that are listed explicitly.
 */
final class PlannedRequestReader {

	private static final int MAXIMUM_REQUESTS = 1_000_000;

	private static final int DEFAULT_BODY_BYTES = 256;

	private static final int MAXIMUM_BODY_BYTES = 1 << 24;

	private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration DEFAULT_SERVICE_TIME = Duration.ofMillis(2);

	private static final Duration MAXIMUM_ARRIVAL = Duration.ofDays(7);

	private PlannedRequestReader() {
	}

	static List<WorkPlan.PlannedRequest> read(MappingReader reader, long seed) {
		reader.requireKnownKeys("streams", "explicit");
		List<WorkPlan.PlannedRequest> requests = new ArrayList<>();
		Set<String> names = new HashSet<>();
		for (MappingReader stream : reader.mappings("streams")) {
			String name = stream.text("name");
			if (!names.add(name)) {
				throw stream.invalidValue("name", name, "Give each stream its own name.");
			}
			addStream(requests, stream, name, new SplittableRandom(seed ^ name.hashCode()));
		}
		Set<RequestId> ids = new HashSet<>();
		requests.forEach((request) -> ids.add(request.id()));
		for (MappingReader explicit : reader.mappings("explicit")) {
			WorkPlan.PlannedRequest request = explicit(explicit);
			if (!ids.add(request.id())) {
				throw explicit.invalidValue("id", request.id().value(), "Give each request its own id.");
			}
			requests.add(request);
		}
		return requests;
	}

	private static void addStream(List<WorkPlan.PlannedRequest> requests, MappingReader stream, String name,
			SplittableRandom random) {
		stream.requireKnownKeys("name", "account", "service", "count", "idempotent", "timeout", "body", "work",
				"arrive");
		CommonFields common = CommonFields.read(stream);
		MappingReader serviceTime = stream.mapping("work").requireKnownKeys("minimum", "maximum");
		Duration minimum = serviceTime.duration("minimum", DEFAULT_SERVICE_TIME, Duration.ZERO, MAXIMUM_DURATION);
		Duration maximum = serviceTime.duration("maximum", minimum, minimum, MAXIMUM_DURATION);
		WorkFile.ArrivalWindow arrivals = WorkFile.ArrivalWindow.read(stream);
		int count = stream.integer("count", 1, MAXIMUM_REQUESTS);
		for (int number = 1; number <= count; number++) {
			String text = name + "-" + number;
			RequestId id = stream.identifier("name", (ignored) -> new RequestId(text));
			long extraMillis = Math.round(maximum.minus(minimum).toMillis() * random.nextDouble());
			requests.add(common.request(arrivals.draw(random), id, minimum.plusMillis(extraMillis)));
		}
	}

	private static WorkPlan.PlannedRequest explicit(MappingReader reader) {
		reader.requireKnownKeys("id", "account", "service", "idempotent", "timeout", "body", "work", "arrive-after");
		Duration arrival = reader.duration("arrive-after", Duration.ZERO, Duration.ZERO, MAXIMUM_ARRIVAL);
		Duration serviceTime = reader.duration("work", DEFAULT_SERVICE_TIME, Duration.ZERO, MAXIMUM_DURATION);
		return CommonFields.read(reader).request(arrival, reader.identifier("id", RequestId::new), serviceTime);
	}

	/**
	 * Fields that streams and explicit requests have in common.
	 *
	 * @param account the client account
	 * @param service the requested service
	 * @param idempotent whether the request may be executed more than once
	 * @param timeout the timeout of the caller
	 * @param bodyBytes the size of the body, in bytes
	 */
	private record CommonFields(AccountId account, ServiceId service, boolean idempotent, Duration timeout,
			int bodyBytes) {

		static CommonFields read(MappingReader reader) {
			return new CommonFields(reader.identifier("account", AccountId::new),
					reader.identifier("service", ServiceId::new), reader.booleanValue("idempotent", false),
					reader.duration("timeout", DEFAULT_TIMEOUT, Duration.ofMillis(1), MAXIMUM_DURATION),
					(int) reader.bytes("body", DEFAULT_BODY_BYTES, 0, MAXIMUM_BODY_BYTES));
		}

		WorkPlan.PlannedRequest request(Duration arrival, RequestId id, Duration serviceTime) {
			return new WorkPlan.PlannedRequest(arrival, id, this.service, this.account, this.idempotent, this.timeout,
					this.bodyBytes, serviceTime);
		}

	}

}
