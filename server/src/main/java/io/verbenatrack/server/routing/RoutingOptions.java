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
 * What request routing needs from the rest of the instance.
 *
 * @param self the instance
 * @param zone its availability zone
 * @param directory the targets
 * @param claims the claims
 * @param weights the shares of client accounts
 * @param settings the limits of decisions
 * @param limits the limits on callers
 * @param client a started client, see {@link TargetClient}
 * @param slotUses takes what the other instances have to hear, on the routing thread
 * @param clock the time of day
 * @param monotonic the monotonic time
 * @param random the source of chance, different at each start
 * @param admissionProblem why no new request may be admitted, or empty when it may
 */
public record RoutingOptions(InstanceId self, ZoneId zone, TargetDirectory directory, ClaimStore claims,
		AccountWeights weights, RoutingSettings settings, RequestLimits limits, HttpClient client,
		Consumer<SlotUse> slotUses, InstantSource clock, MonotonicClock monotonic, RandomGenerator random,
		Supplier<Optional<Problem>> admissionProblem) {

}
