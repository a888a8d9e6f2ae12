package io.verbenatrack.bench.control;

import java.util.Locale;

/**
 * What has to hold when faults strike.
 */
enum FaultExpectation {

	/** Nothing is lost, doubled or decided twice, and all goes on once it heals. */
	RECOVERS,

	/** The same, and changes are accepted while the fault lasts. */
	SERVES;

	static FaultExpectation ofFile(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT));
	}

}
