package io.verbenatrack.fleetd;

import java.util.List;
import java.util.function.Supplier;

import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.state.FleetCommand;

/**
 * What the leader decided on a call.
 *
 * @param commands what has to be committed before the reply is true
 * @param reply gives the reply, once that is committed
 */
record CallDecision(List<FleetCommand> commands, Supplier<FleetReply> reply) {

	static CallDecision of(FleetReply reply) {
		return new CallDecision(List.of(), () -> reply);
	}

	static CallDecision afterCommit(FleetCommand command, FleetReply reply) {
		return new CallDecision(List.of(command), () -> reply);
	}

}
