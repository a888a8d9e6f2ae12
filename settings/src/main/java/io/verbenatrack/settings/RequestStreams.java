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
 * Reads the requests of a work file: streams drawn from the seed, and explicit ones.
 */
final class RequestStreams {

	private static final int MAXIMUM_REQUESTS = 1_000_000;

	private static final int DEFAULT_BODY_BYTES = 256;

	private static final int MAXIMUM_BODY_BYTES = 1 << 24;

	private static final Duration LONGEST = Duration.ofHours(1);

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration DEFAULT_WORK = Duration.ofMillis(2);

	private static final Duration LONGEST_ARRIVAL = Duration.ofDays(7);

	private RequestStreams() {
	}

	static List<WorkPlan.PlannedRequest> read(MappingReader reader, long seed) {
		reader.allow("streams", "explicit");
		List<WorkPlan.PlannedRequest> requests = new ArrayList<>();
		Set<String> names = new HashSet<>();
		for (MappingReader stream : reader.mappings("streams")) {
			String name = stream.text("name");
			if (!names.add(name)) {
				throw stream.found("name", name, "Give each stream its own name.");
			}
			addStream(requests, stream, name, new SplittableRandom(seed ^ name.hashCode()));
		}
		Set<RequestId> ids = new HashSet<>();
		requests.forEach((request) -> ids.add(request.id()));
		for (MappingReader explicit : reader.mappings("explicit")) {
			WorkPlan.PlannedRequest request = explicit(explicit);
			if (!ids.add(request.id())) {
				throw explicit.found("id", request.id().value(), "Give each request its own id.");
			}
			requests.add(request);
		}
		return requests;
	}

	private static void addStream(List<WorkPlan.PlannedRequest> requests, MappingReader stream, String name,
			SplittableRandom random) {
		stream.allow("name", "account", "service", "count", "idempotent", "timeout", "body", "work", "arrive");
		Common common = Common.read(stream);
		MappingReader work = stream.mapping("work").allow("minimum", "maximum");
		Duration minimum = work.duration("minimum", DEFAULT_WORK, Duration.ZERO, LONGEST);
		Duration maximum = work.duration("maximum", minimum, minimum, LONGEST);
		WorkFile.Arrivals arrivals = WorkFile.Arrivals.read(stream);
		int count = stream.integer("count", 1, MAXIMUM_REQUESTS);
		for (int number = 1; number <= count; number++) {
			String text = name + "-" + number;
			RequestId id = stream.identifier("name", (ignored) -> new RequestId(text));
			long spread = Math.round(maximum.minus(minimum).toMillis() * random.nextDouble());
			requests.add(common.request(arrivals.draw(random), id, minimum.plusMillis(spread)));
		}
	}

	private static WorkPlan.PlannedRequest explicit(MappingReader reader) {
		reader.allow("id", "account", "service", "idempotent", "timeout", "body", "work", "arrive-after");
		Duration arrival = reader.duration("arrive-after", Duration.ZERO, Duration.ZERO, LONGEST_ARRIVAL);
		Duration work = reader.duration("work", DEFAULT_WORK, Duration.ZERO, LONGEST);
		return Common.read(reader).request(arrival, reader.identifier("id", RequestId::new), work);
	}

	/**
	 * What streams and explicit requests both declare.
	 *
	 * @param account the client account
	 * @param service the service asked
	 * @param idempotent whether running it twice does no harm
	 * @param timeout how long the caller waits
	 * @param bodyBytes the size of the body
	 */
	private record Common(AccountId account, ServiceId service, boolean idempotent, Duration timeout, int bodyBytes) {

		static Common read(MappingReader reader) {
			return new Common(reader.identifier("account", AccountId::new),
					reader.identifier("service", ServiceId::new), reader.flag("idempotent", false),
					reader.duration("timeout", DEFAULT_TIMEOUT, Duration.ofMillis(1), LONGEST),
					(int) reader.bytes("body", DEFAULT_BODY_BYTES, 0, MAXIMUM_BODY_BYTES));
		}

		WorkPlan.PlannedRequest request(Duration arrival, RequestId id, Duration work) {
			return new WorkPlan.PlannedRequest(arrival, id, this.service, this.account, this.idempotent, this.timeout,
					this.bodyBytes, work);
		}

	}

}
