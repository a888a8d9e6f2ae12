package io.verbenatrack.routing.rules;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two targets drawn at random ("power of two choices").
 * <p>
 * Compared with a single random choice, the longest queue is exponentially shorter
 * (Mitzenmacher, IEEE TPDS 12(10), 2001). Compared with selecting the least loaded of all
 * targets, the instances do not all select the same idle target.
 */
public final class PowerOfTwoChoices {

	private PowerOfTwoChoices() {
	}

	/**
	 * Selects a candidate.
	 * @param <T> the type of the candidates
	 * @param candidates the candidates, at least one
	 * @param load the load of a candidate relative to its slots
	 * @param random the random number generator
	 * @return the less loaded of two distinct candidates, or the only candidate
	 */
	public static <T> T choose(List<T> candidates, ToDoubleFunction<T> load, RandomGenerator random) {
		int first = random.nextInt(candidates.size());
		if (candidates.size() == 1) {
			return candidates.get(first);
		}
		int second = random.nextInt(candidates.size() - 1);
		second = (second >= first) ? second + 1 : second;
		T a = candidates.get(first);
		T b = candidates.get(second);
		return (load.applyAsDouble(b) < load.applyAsDouble(a)) ? b : a;
	}

}
