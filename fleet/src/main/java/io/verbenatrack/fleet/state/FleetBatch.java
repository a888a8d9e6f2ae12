package io.verbenatrack.fleet.state;

import java.util.List;

/**
 * Decisions that a leader took together, on one state.
 *
 * @param term the term in which they were decided
 * @param sequence the place among the batches of that term, from 1
 * @param commands the decisions
 */
public record FleetBatch(long term, long sequence, List<FleetCommand> commands) {

	public FleetBatch {
		commands = List.copyOf(commands);
	}

}
