package io.verbenatrack.bench.control;

import java.util.Locale;

/**
 * Expected behaviour of the cluster under injected faults.
 */
enum FaultExpectation {

	/**
	 * All safety properties hold, and the cluster makes progress after the fault ends.
	 */
	RECOVERS,

	/** As {@link #RECOVERS}, and changes are also accepted while the fault lasts. */
	SERVES;

	static FaultExpectation parse(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT));
	}

}
