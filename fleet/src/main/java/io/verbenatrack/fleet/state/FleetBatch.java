package io.verbenatrack.fleet.state;

import java.util.List;

/**
 * A batch of decisions that a leader made on the same state.
 *
 * @param term the term of the leader
 * @param sequence the sequence number within the term, from 1
 * @param commands the decisions
 */
public record FleetBatch(long term, long sequence, List<FleetCommand> commands) {

	public FleetBatch {
		commands = List.copyOf(commands);
	}

}
