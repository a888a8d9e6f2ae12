package io.verbenatrack.bench.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Searches for a linearization of a history. The algorithm is that of J. Wing and C.
 * Gong, Testing and Verifying Concurrent Objects, 1993, with memoization of visited
 * states as in G. Lowe, Testing for Linearizability, 2017.
 *
 * @param <S> the type of the states, compared by value
 * @param <I> the type of the inputs
 * @param <O> the type of the results
 */
final class LinearizabilityChecker<S, I, O> {

	/**
	 * Maximum number of operations in a history, limited by the bits of a {@code long}.
	 */
	static final int MAXIMUM_OPERATIONS = 63;

	/** Number of visited states after which the search is abandoned. */
	private static final int MAXIMUM_VISITED = 300_000;

	private final Model<S, I, O> model;

	private final List<Operation<I, O>> history;

	private final Set<Visited<S>> visited = new HashSet<>();

	private boolean exhausted;

	LinearizabilityChecker(Model<S, I, O> model, List<Operation<I, O>> history) {
		if (history.size() > MAXIMUM_OPERATIONS) {
			throw new IllegalArgumentException("A history of " + history.size() + " operations is too long. Give "
					+ MAXIMUM_OPERATIONS + " at most.");
		}
		this.model = model;
		this.history = history;
	}

	Verdict check() {
		boolean found = search(0, this.model.initial());
		if (found) {
			return Verdict.LINEARIZABLE;
		}
		return this.exhausted ? Verdict.OPEN : Verdict.NOT_LINEARIZABLE;
	}

	private boolean search(long linearized, S state) {
		if (allReturnedAreLinearized(linearized)) {
			return true;
		}
		if (!this.visited.add(new Visited<>(linearized, state))) {
			return false;
		}
		if (this.visited.size() > MAXIMUM_VISITED) {
			this.exhausted = true;
			return false;
		}
		long earliestReturn = earliestReturn(linearized);
		for (int i = 0; i < this.history.size(); i++) {
			Operation<I, O> operation = this.history.get(i);
			if ((linearized & (1L << i)) != 0 || operation.invokedNanos() > earliestReturn) {
				continue;
			}
			Step<S, O> step = this.model.apply(state, operation.input());
			boolean explains = operation.result().isEmpty() || operation.result().get().equals(step.result());
			if (explains && search(linearized | (1L << i), step.state())) {
				return true;
			}
		}
		return false;
	}

	private boolean allReturnedAreLinearized(long linearized) {
		for (int i = 0; i < this.history.size(); i++) {
			if ((linearized & (1L << i)) == 0 && this.history.get(i).result().isPresent()) {
				return false;
			}
		}
		return true;
	}

	private long earliestReturn(long linearized) {
		long earliest = Long.MAX_VALUE;
		for (int i = 0; i < this.history.size(); i++) {
			Operation<I, O> operation = this.history.get(i);
			if ((linearized & (1L << i)) == 0 && operation.result().isPresent()) {
				earliest = Math.min(earliest, operation.returnedNanos());
			}
		}
		return earliest;
	}

	/** Result of the check. */
	enum Verdict {

		/** The history has a linearization. */
		LINEARIZABLE,

		/** The history has no linearization. */
		NOT_LINEARIZABLE,

		/** The search was abandoned before it found an answer. */
		OPEN

	}

	/**
	 * Sequential specification of the checked object.
	 *
	 * @param <S> the type of the states
	 * @param <I> the type of the inputs
	 * @param <O> the type of the results
	 */
	interface Model<S, I, O> {

		S initial();

		Step<S, O> apply(S state, I input);

	}

	/**
	 * One step of a model.
	 *
	 * @param <S> the type of the states
	 * @param <O> the type of the results
	 * @param state the next state
	 * @param result the result of the operation
	 */
	record Step<S, O>(S state, O result) {

	}

	/**
	 * One operation of a history.
	 *
	 * @param <I> the type of the input
	 * @param <O> the type of the result
	 * @param input the input
	 * @param invokedNanos the time of the invocation, in nanoseconds
	 * @param returnedNanos the time at which the result was received, in nanoseconds
	 * @param result the result, empty if it was never received
	 */
	record Operation<I, O>(I input, long invokedNanos, long returnedNanos, Optional<O> result) {

	}

	private record Visited<S>(long linearized, S state) {

	}

}
