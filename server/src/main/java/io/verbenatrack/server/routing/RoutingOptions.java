package io.verbenatrack.server.routing;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.AccountWeights;
import io.verbenatrack.routing.ClaimStore;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.SlotUse;
import io.verbenatrack.routing.TargetDirectory;

/**
 * The dependencies and limits of request routing.
 *
 * @param self this instance
 * @param zone its availability zone
 * @param directory the known targets
 * @param claims the store of claims on requests
 * @param weights the weights of client accounts
 * @param settings the parameters of the router
 * @param limits the limits on the requests of callers
 * @param client a started client, see {@link TargetClient}
 * @param slotUses receives the slot use to report to other instances, on the routing
 * thread
 * @param clock the wall clock
 * @param monotonic the monotonic clock
 * @param random the source of randomness, seeded differently at each start
 * @param admissionProblem returns why no new request may be admitted, or empty if
 * requests are admitted
 */
public record RoutingOptions(InstanceId self, ZoneId zone, TargetDirectory directory, ClaimStore claims,
		AccountWeights weights, RoutingSettings settings, RequestLimits limits, HttpClient client,
		Consumer<SlotUse> slotUses, InstantSource clock, MonotonicClock monotonic, RandomGenerator random,
		Supplier<Optional<Problem>> admissionProblem) {

}
