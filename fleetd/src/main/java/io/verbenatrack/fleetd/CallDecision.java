package io.verbenatrack.fleetd;

import java.util.List;
import java.util.function.Function;

import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;

/**
 * What the leader decided on a call.
 *
 * @param commands what has to be committed before the reply is true
 * @param reply gives the reply, on the state after that
 */
record CallDecision(List<FleetCommand> commands, Function<FleetState, FleetReply> reply) {

	static CallDecision of(FleetReply reply) {
		return new CallDecision(List.of(), (state) -> reply);
	}

	static CallDecision after(FleetCommand command, FleetReply reply) {
		return new CallDecision(List.of(command), (state) -> reply);
	}

}
