package io.verbenatrack.bench.control;

import io.verbenatrack.bench.control.LinearizabilityChecker.Step;

/**
 * What the claims on one request mean when they happen one at a time.
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

	/** What is asked. */
	enum Action {

		/** Claim the request for an attempt. */
		CLAIM,

		/** Keep the answer of an attempt. */
		KEEP,

		/** Give the claim of an attempt back. */
		RELEASE

	}

	/**
	 * Who holds the claim and what was answered.
	 *
	 * @param holder the attempt, empty when nobody
	 * @param answer the answer, empty when there is none
	 */
	record State(String holder, String answer) {

	}

	/**
	 * A command.
	 *
	 * @param action what is asked
	 * @param attempt for which attempt
	 */
	record Input(Action action, String attempt) {

	}

	/**
	 * What came back.
	 *
	 * @param kind the kind of reply
	 * @param detail the holder or the answer
	 */
	record Output(String kind, String detail) {

	}

}
