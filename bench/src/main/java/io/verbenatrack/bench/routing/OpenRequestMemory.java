package io.verbenatrack.bench.routing;

import java.time.Instant;
import java.util.SplittableRandom;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.ExchangeId;
import io.verbenatrack.routing.RequestRouter;
import io.verbenatrack.routing.RoutingEvent;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.VersionedTargetDirectory;

/**
 * Measures the heap that the request router uses for each open request.
 */
final class OpenRequestMemory {

	private static final int REQUESTS = 15_000;

	private static final int COLLECTIONS = 3;

	private OpenRequestMemory() {
	}

	static long bytesPerRequest(long seed) {
		VersionedTargetDirectory directory = new VersionedTargetDirectory(new InstanceId("i"));
		SimulatedTarget target = new SimulatedTarget(new VirtualClock(), new SplittableRandom(seed), 0, "z");
		directory.announce(target.spec(), 0, 0, 0);
		RequestRouter router = new RequestRouter(new InstanceId("i"), new ZoneId("z"), directory, (account) -> 1,
				RoutingSettings.STANDARD, new SplittableRandom(seed));
		long before = usedHeap();
		for (int i = 0; i < REQUESTS; i++) {
			RequestSpec spec = new RequestSpec(new RequestId("request-" + i), SimulatedTarget.SERVICE,
					new AccountId("account-" + i % 4), false, Instant.EPOCH);
			router.handle(new RoutingEvent.Accepted(new ExchangeId(i), spec, BodyDigest.of(new byte[] { (byte) i }),
					VirtualClock.NANOS_PER_SECOND, true, false), 0);
		}
		long after = usedHeap();
		if (router.openExchanges() != REQUESTS) {
			throw new IllegalStateException(
					"Only " + router.openExchanges() + " of " + REQUESTS + " requests are open.");
		}
		return (after - before) / REQUESTS;
	}

	private static long usedHeap() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
