package io.verbenatrack.routing.rules;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Takes the less loaded of two targets drawn at random.
 * <p>
 * Two choices keep the longest queue exponentially shorter than one, and do not send all
 * instances to the same idle target (Mitzenmacher, IEEE TPDS 12(10), 2001).
 */
public final class LeastLoadedOfTwo {

	private LeastLoadedOfTwo() {
	}

	/**
	 * Chooses a candidate.
	 * @param <T> the type of the candidates
	 * @param candidates at least one
	 * @param load the load of a candidate over its slots
	 * @param random the source of chance
	 * @return the less loaded of two different candidates
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
