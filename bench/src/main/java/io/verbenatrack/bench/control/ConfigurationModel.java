package io.verbenatrack.bench.control;

import io.verbenatrack.bench.control.LinearizabilityChecker.Step;

/**
 * What configuration changes and reads mean when they happen one at a time.
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
	 * The latest revision and who won it.
	 *
	 * @param revision its number
	 * @param winner its change id
	 */
	record State(long revision, String winner) {

	}

	/**
	 * A change or a read.
	 *
	 * @param read whether it only reads
	 * @param change the change id
	 * @param expectedRevision the revision that the change was made from
	 */
	record Input(boolean read, String change, long expectedRevision) {

	}

	/**
	 * What came back.
	 *
	 * @param accepted whether a change was accepted
	 * @param winner the change that holds the revision
	 * @param revision the revision
	 */
	record Output(boolean accepted, String winner, long revision) {

	}

}
