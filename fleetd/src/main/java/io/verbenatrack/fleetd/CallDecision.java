package io.verbenatrack.fleetd;

import java.util.List;
import java.util.function.Supplier;

import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.state.FleetCommand;

/**
 * The decision of the leader on a call.
 *
 * @param commands the commands that must be committed before the reply is valid
 * @param reply supplies the reply after the commit
 */
record CallDecision(List<FleetCommand> commands, Supplier<FleetReply> reply) {

	static CallDecision of(FleetReply reply) {
		return new CallDecision(List.of(), () -> reply);
	}

	static CallDecision afterCommit(FleetCommand command, FleetReply reply) {
		return afterCommit(command, () -> reply);
	}

	static CallDecision afterCommit(FleetCommand command, Supplier<FleetReply> reply) {
		return new CallDecision(List.of(command), reply);
	}

}
