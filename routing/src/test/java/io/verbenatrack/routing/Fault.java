package io.verbenatrack.routing;

import java.util.Locale;

/**
 * A fault that a test injects at a step of a request. The name in lower case is the key
 * in fault-matrix.yaml.
 */
enum Fault {

	TARGET_DEATH, RESET, SILENCE, SLOWNESS, GARBAGE, WRONG_LENGTH, CROSSED, LATE, DOUBLED, OUR_DEATH, CALLER_GONE,
	CANCELLATION, DRAIN;

	String key() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	boolean isHarmless() {
		return this == SLOWNESS || this == DOUBLED || this == DRAIN;
	}

}
