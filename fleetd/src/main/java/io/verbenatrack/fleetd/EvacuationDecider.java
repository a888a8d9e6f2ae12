package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.EvacuationOrders;
import io.verbenatrack.fleet.policy.EvacuationRefusal;
import io.verbenatrack.fleet.policy.EvacuationSettings;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.ZoneId;

/**
 * Decides on the calls of one turn that evacuate availability zones.
 *
 * <p>
 * An accepted order is always stored, also if the state agrees with it already. An
 * earlier order whose outcome is unknown may still take effect, and only an order that is
 * stored after it is certain to be in force when it is acknowledged.
 */
final class EvacuationDecider {

	/** The retry delay that is recommended to the sender of a late order, if any. */
	private static final long LATE_RETRY_MILLIS = 500;

	/** An operator has to withdraw an evacuation before another one is accepted. */
	private static final long TOO_MANY_RETRY_MILLIS = 5000;

	private final EvacuationOrders orders;

	private final EvacuationSettings settings;

	private final GrantedTime now;

	/** The zones that accepted orders of this turn evacuate. */
	private final Set<ZoneId> undecided = new HashSet<>();

	EvacuationDecider(EvacuationOrders orders, EvacuationSettings settings, GrantedTime now) {
		this.orders = orders;
		this.settings = settings;
		this.now = now;
	}

	CallDecision decide(FleetCall.EvacuateZone call, GrantedTime arrived) {
		Optional<EvacuationRefusal> refusal = this.orders.evacuate(call.zone(), this.settings, this.undecided,
				waitedMillis(arrived));
		if (refusal.isPresent()) {
			return CallDecision.of(reply(refusal.get()));
		}
		this.undecided.add(call.zone());
		return CallDecision.afterCommit(new FleetCommand.EvacuateZone(call.zone()), new FleetReply.Stored());
	}

	CallDecision decide(FleetCall.WithdrawEvacuation call, GrantedTime arrived) {
		return this.orders.withdraw(call.zone(), this.settings, this.undecided, waitedMillis(arrived))
			.map((refusal) -> CallDecision.of(reply(refusal)))
			.orElseGet(() -> CallDecision.afterCommit(new FleetCommand.WithdrawEvacuation(call.zone()),
					new FleetReply.Stored()));
	}

	private long waitedMillis(GrantedTime arrived) {
		return Duration.ofNanos(this.now.nanosSince(arrived)).toMillis();
	}

	private static FleetReply reply(EvacuationRefusal refusal) {
		return switch (refusal) {
			case UNKNOWN_ZONE -> new FleetReply.NoSuchZone();
			case WAITED_TOO_LONG ->
				new FleetReply.Refused(new Problem(ProblemKind.UNAVAILABLE, "The order waited too long for the leader.",
						"Send it again if it still holds."), LATE_RETRY_MILLIS);
			case TOO_MANY_ZONES ->
				new FleetReply.Refused(new Problem(ProblemKind.OVERLOADED, "Too many zones are evacuated.",
						"Withdraw evacuations that are not needed."), TOO_MANY_RETRY_MILLIS);
		};
	}

}
