package io.verbenatrack.bench.control;

import io.verbenatrack.bench.control.LinearizabilityChecker.Step;

/**
 * Sequential specification of configuration changes and reads.
 */
final class ConfigurationModel implements
		LinearizabilityChecker.Model<ConfigurationModel.State, ConfigurationModel.Input, ConfigurationModel.Output> {

	@Override
	public State initial() {
		return new State(0, "");
	}

	@Override
	public Step<State, Output> apply(State state, Input input) {
		if (input.read()) {
			return new Step<>(state, new Output(false, state.winner(), state.revision()));
		}
		if (input.expectedRevision() != state.revision()) {
			return new Step<>(state, new Output(false, state.winner(), state.revision()));
		}
		State next = new State(state.revision() + 1, input.change());
		return new Step<>(next, new Output(true, input.change(), next.revision()));
	}

	/**
	 * The latest revision and the change that created it.
	 *
	 * @param revision the revision number
	 * @param winner the id of the change that created it
	 */
	record State(long revision, String winner) {

	}

	/**
	 * Input of a change or a read.
	 *
	 * @param read whether the operation is a read
	 * @param change the change id, empty for a read
	 * @param expectedRevision the revision that the change is based on
	 */
	record Input(boolean read, String change, long expectedRevision) {

	}

	/**
	 * Result of a change or a read.
	 *
	 * @param accepted whether the change was accepted; false for a read
	 * @param winner the id of the change that created the revision
	 * @param revision the revision in force
	 */
	record Output(boolean accepted, String winner, long revision) {

	}

}
