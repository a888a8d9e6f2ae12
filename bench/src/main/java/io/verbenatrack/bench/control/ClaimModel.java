package io.verbenatrack.bench.control;

import io.verbenatrack.bench.control.LinearizabilityChecker.Step;

/**
 * Sequential specification of the claims on one request.
 */
final class ClaimModel implements LinearizabilityChecker.Model<ClaimModel.State, ClaimModel.Input, ClaimModel.Output> {

	private static final Output DONE = new Output("done", "");

	private static final Output NONE = new Output("none", "");

	@Override
	public State initial() {
		return new State("", "");
	}

	@Override
	public Step<State, Output> apply(State state, Input input) {
		return switch (input.action()) {
			case CLAIM -> claim(state, input);
			case KEEP -> keep(state, input);
			case RELEASE -> release(state, input);
		};
	}

	private static Step<State, Output> claim(State state, Input input) {
		if (state.holder().isEmpty()) {
			return new Step<>(new State(input.attempt(), ""), new Output("granted", ""));
		}
		if (!state.answer().isEmpty()) {
			return new Step<>(state, new Output("kept", state.answer()));
		}
		boolean resent = state.holder().equals(input.attempt());
		return new Step<>(state, resent ? new Output("granted", "") : new Output("running", state.holder()));
	}

	private static Step<State, Output> keep(State state, Input input) {
		if (state.holder().isEmpty()) {
			return new Step<>(state, NONE);
		}
		if (!state.holder().equals(input.attempt())) {
			return new Step<>(state, new Output("running", state.holder()));
		}
		String answer = state.answer().isEmpty() ? input.attempt() : state.answer();
		return new Step<>(new State(state.holder(), answer), DONE);
	}

	private static Step<State, Output> release(State state, Input input) {
		if (state.holder().isEmpty()) {
			return new Step<>(state, NONE);
		}
		if (!state.answer().isEmpty()) {
			return new Step<>(state, new Output("kept", state.answer()));
		}
		if (!state.holder().equals(input.attempt())) {
			return new Step<>(state, new Output("running", state.holder()));
		}
		return new Step<>(new State("", ""), DONE);
	}

	/** A command on the claim. */
	enum Action {

		/** Claims the request for an attempt. */
		CLAIM,

		/** Stores the answer of an attempt. */
		KEEP,

		/** Releases the claim of an attempt. */
		RELEASE

	}

	/**
	 * Holder of the claim and the stored answer.
	 *
	 * @param holder the attempt that holds the claim, empty if there is none
	 * @param answer the stored answer, empty if there is none
	 */
	record State(String holder, String answer) {

	}

	/**
	 * Input of a command.
	 *
	 * @param action the command
	 * @param attempt the attempt that sends it
	 */
	record Input(Action action, String attempt) {

	}

	/**
	 * Result of a command.
	 *
	 * @param kind the kind of reply
	 * @param detail the holder or the answer, empty for other kinds
	 */
	record Output(String kind, String detail) {

	}

}
